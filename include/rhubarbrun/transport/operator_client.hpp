#ifndef RHUBARBRUN_TRANSPORT_OPERATOR_CLIENT_HPP
#define RHUBARBRUN_TRANSPORT_OPERATOR_CLIENT_HPP

#include <rhubarbrun/transport/http_client.hpp>
#include <rhubarbrun/transport/settings.hpp>

#include <functional>
#include <ostream>

namespace rhubarbrun::inline v1 {

/// Exit codes of rhubarbctl.
enum class operator_exit : int
{
    /// The command was carried out, now or by an earlier equal request.
    done = 0,
    /// The rules refuse it; sending it again changes nothing.
    refused = 1,
    /// Wrong arguments, settings or bundle.
    usage = 2,
    /// No control member answered; the outcome is not known, and the command
    /// may be given again.
    unavailable = 3,
    /// The token belongs to no operator.
    unauthorized = 4,
    /// `diff` found differences.
    different = 5,
};

/// Where the client writes to, and how it sends; tests replace these.
struct operator_client_hooks
{
    std::ostream& out;
    std::ostream& errors;
    /// Empty for http_send_and_wait.
    std::function<http_result(const asio::ip::tcp::endpoint&,
                              const http_request&)>
        send;
};

/// Runs one rhubarbctl command; returns the exit code.
[[nodiscard]] auto run_operator_client(const settings_input& input,
                                       const operator_client_hooks& hooks)
    -> int;

} // namespace rhubarbrun::inline v1

#endif
