#ifndef RHUBARBRUN_TRANSPORT_TARGET_CONNECTION_HPP
#define RHUBARBRUN_TRANSPORT_TARGET_CONNECTION_HPP

#include <rhubarbrun/protocol/execute_messages.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/request_error.hpp>
#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/asio.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

struct target_connection_options
{
    /// Numeric IP address of the target.
    std::string address;
    std::uint16_t port = 5432;
    std::string database;
    std::string user;
    /// Empty for none.
    std::string password;
    /// See `target_application_name`.
    std::string application_name;
    /// Bytes of encoded answer above which the request is answered 54000.
    std::size_t max_answer_bytes = std::size_t{8} << 20U;
    /// Time for which sent bytes may stay unacknowledged by the target's host.
    duration user_timeout = std::chrono::seconds(2);
    std::chrono::seconds keepalive_idle{1};
    std::chrono::seconds keepalive_interval{1};
    int keepalive_count = 3;
    /// The target ends a transaction that is idle for longer.
    duration idle_in_transaction_limit = std::chrono::seconds(60);
};

/// `rhubarbrun/<vm>/<epoch>`, by which a later owner finds the backends of
/// earlier ones.
[[nodiscard]] auto target_application_name(const proxy_id& vm,
                                           owner_epoch epoch) -> std::string;

/// Outcome of one statement at a target.
struct target_result
{
    /// Set if the target gave no whole answer, or the answer is too large.
    /// `outcome` is `not_run` only if the target cannot have received the
    /// whole statement.
    std::optional<request_error> error;
    /// Encoded backend messages without ReadyForQuery, as in `execute_reply`.
    std::string answer;
    /// `idle` after the connection was lost.
    transaction_status status = transaction_status::idle;
    /// The answer holds an ErrorResponse of the target.
    bool has_target_error = false;
    /// SQLSTATE of that ErrorResponse.
    std::string target_code;
};

/// One libpq connection to a target, driven by Asio.
///
/// Not safe for use from several threads: construct it with a strand, and call
/// its functions on that strand. Handlers are called on the strand, never from
/// within the called function. The object may be released at any time; a
/// handler that waits then gets an error.
class target_connection
{
public:
    using connect_handler = std::function<void(std::optional<request_error>)>;
    using run_handler = std::function<void(target_result)>;

    target_connection(asio::any_io_executor strand,
                      target_connection_options options);
    target_connection(const target_connection&) = delete;
    auto operator=(const target_connection&) -> target_connection& = delete;
    /// Closes.
    ~target_connection();

    /// Connects within `timeout`. A failure always has verdict `not_run`.
    auto connect(duration timeout, connect_handler handler) -> void;

    /// Runs `body` within `timeout`; one statement at a time. When the time
    /// is up the connection is closed, as its state is not known, and the
    /// target is asked to cancel.
    auto run(statement body, duration timeout, run_handler handler) -> void;

    /// Asks the target to cancel what runs; the answer comes through the
    /// handler of `run`. The request is sent from another thread, as libpq's
    /// own function blocks until the target's host responds.
    auto cancel() -> void;

    /// Closes at once. A statement that runs gets verdict `may_have_run` if
    /// it was sent, else `not_run`.
    auto close() -> void;

    /// Changes `target_connection_options::max_answer_bytes`.
    auto set_max_answer_bytes(std::size_t limit) -> void;

    /// Whether `run` may be called.
    [[nodiscard]] auto is_ready() const noexcept -> bool;
    /// Whether the connection was lost or closed, or never opened.
    [[nodiscard]] auto is_closed() const noexcept -> bool;
    [[nodiscard]] auto status() const noexcept -> transaction_status;
    /// Process id of the backend at the target.
    [[nodiscard]] auto backend_process() const noexcept -> int;
    /// Called once if an idle connection is closed by the target.
    auto set_lost_handler(std::function<void()> handler) -> void;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace rhubarbrun::inline v1

#endif
