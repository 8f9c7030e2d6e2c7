#ifndef RHUBARBRUN_TESTS_SOAK_PROBER_HPP
#define RHUBARBRUN_TESTS_SOAK_PROBER_HPP

#include "soak_cluster.hpp"
#include "soak_ledger.hpp"
#include "soak_platform.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace rhubarbrun_soak {

/// Asks proxies for databases that the last configurations added.
///
/// A proxy may be slow, or ask to come back. But it must not deny a database
/// whose version was acknowledged long before, nor one that it has served since
/// its start, however it was harmed or cut off.
class soak_prober
{
public:
    using choose_function = std::function<soak_node&()>;

    soak_prober(asio::io_context& context, soak_ledger& ledger,
                soak_platform& platform, std::uint16_t port, std::uint64_t seed,
                choose_function choose);

    auto run(const bool& is_over) -> asio::awaitable<void>;

private:
    auto probe(soak_node& node) -> asio::awaitable<void>;
    /// First word of the answer and of the cause; empty if there was none.
    auto ask(const std::string& address, const std::string& database)
        -> asio::awaitable<std::string>;
    auto on_denied(const std::string& proxy, std::uint64_t version,
                   time_point asked_at, std::uint64_t served) -> void;

    asio::io_context& context_;
    soak_ledger& ledger_;
    soak_platform& platform_;
    std::uint16_t port_;
    std::mt19937_64 random_;
    choose_function choose_;
    /// Highest version whose database was served, by process.
    std::map<std::string, std::uint64_t> served_;
    std::size_t served_count_ = 0;
    std::size_t denied_count_ = 0;
};

} // namespace rhubarbrun_soak

#endif
