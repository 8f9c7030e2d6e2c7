#ifndef RHUBARBRUN_BENCH_TARGET_REPLICATION_HPP
#define RHUBARBRUN_BENCH_TARGET_REPLICATION_HPP

#include "target_server.hpp"

#include <rhubarbrun/protocol/pg_reader.hpp>
#include <rhubarbrun/protocol/pg_writer.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>

namespace rhubarbrun::bench {

/// Messages of the replication stream between stand-in targets, framed like
/// those of PostgreSQL. They carry cereal's binary form of the named types.
namespace stream {
/// Primary: `stream_hello`.
inline constexpr char hello = 'h';
/// Replica: position (64 bits) from which it reads.
inline constexpr char start = 's';
/// Primary: `log_record`.
inline constexpr char record = 'w';
/// Replica: `stream_status`.
inline constexpr char status = 'r';
/// Startup parameter by which a replica names itself.
inline constexpr auto parameter = "standin_replication";
/// Largest message of the stream.
inline constexpr auto max_frame_bytes = std::size_t{64} << 20U;
} // namespace stream

struct stream_hello
{
    timeline_history history;
    std::uint64_t end = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(history, end);
    }
};

struct stream_status
{
    std::uint64_t received = 0;
    std::uint64_t replayed = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(received, replayed);
    }
};

/// Appends a message of the stream to `out`.
template <class Value>
auto write_stream_message(std::string& out, char type, const Value& value)
    -> void;
template <class Value>
auto read_stream_message(const std::string& body) -> Value;

/// Reads the log of a primary, and replays it after the lag.
class log_receiver : public std::enable_shared_from_this<log_receiver>
{
public:
    log_receiver(target_server& server, asio::ip::tcp::endpoint primary,
                 std::string name);

    auto start() -> void;
    auto stop() -> void;
    /// Drops the connection; it is opened again unless partitioned.
    auto disconnect() -> void;

private:
    auto connect() -> void;
    auto retry_later() -> void;
    auto read() -> void;
    auto on_message(const pg_frame& frame) -> void;
    auto replay_due() -> void;
    auto send(const std::string& bytes) -> void;
    auto write() -> void;
    auto send_status() -> void;

    target_server& server_;
    asio::ip::tcp::endpoint primary_;
    std::string name_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer retry_timer_;
    asio::steady_timer replay_timer_;
    pg_frame_reader reader_;
    std::array<char, 65536> chunk_{};
    std::string output_;
    std::string sending_;
    /// Times at which the received records are replayed.
    std::deque<std::chrono::steady_clock::time_point> due_;
    /// Tells handlers of an earlier connection from those of the present one.
    std::uint64_t connection_number_ = 0;
    bool is_writing_ = false;
    bool is_stopped_ = false;
};

} // namespace rhubarbrun::bench

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace rhubarbrun::bench {

template <class Value>
auto write_stream_message(std::string& out, char type, const Value& value)
    -> void
{
    auto bytes = std::ostringstream{};
    {
        auto archive = cereal::PortableBinaryOutputArchive(bytes);
        archive(value);
    }
    pg_writer(out).raw(type, bytes.str());
}

template <class Value>
auto read_stream_message(const std::string& body) -> Value
{
    auto bytes = std::istringstream(body);
    auto archive = cereal::PortableBinaryInputArchive(bytes);
    auto value = Value{};
    archive(value);
    return value;
}

} // namespace rhubarbrun::bench

#endif
