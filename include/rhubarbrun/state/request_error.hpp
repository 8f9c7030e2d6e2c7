#ifndef RHUBARBRUN_STATE_REQUEST_ERROR_HPP
#define RHUBARBRUN_STATE_REQUEST_ERROR_HPP

#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/state/verdict.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace rhubarbrun::inline v1 {

/// SQLSTATE codes that the proxy itself produces.
namespace sqlstate {
/// Refused and not run: the service cannot take it now.
inline constexpr std::string_view cannot_connect_now = "57P03";
/// Refused and not run: the queue, a share or a limit is used up.
inline constexpr std::string_view too_many_connections = "53300";
/// Sent, but the outcome is not known.
inline constexpr std::string_view transaction_resolution_unknown = "08007";
/// The session is ended between statements by a shutdown.
inline constexpr std::string_view admin_shutdown = "57P01";
/// The request was cancelled by the caller.
inline constexpr std::string_view query_canceled = "57014";
/// The transaction was ended and its effects rolled back.
inline constexpr std::string_view transaction_rollback = "40000";
/// The message breaks the frontend/backend protocol.
inline constexpr std::string_view protocol_violation = "08P01";
/// The feature is not carried by the proxy.
inline constexpr std::string_view feature_not_supported = "0A000";
/// The answer or statement is larger than the proxy carries.
inline constexpr std::string_view program_limit_exceeded = "54000";
/// A setting has a value that is not valid.
inline constexpr std::string_view invalid_parameter_value = "22023";
/// The database is not in the bundle in force.
inline constexpr std::string_view invalid_catalog_name = "3D000";
} // namespace sqlstate

/// Why a request has no result, and whether it may have run.
struct request_error
{
    verdict outcome = verdict::not_run;
    /// Five characters; see `sqlstate`.
    std::string code;
    /// One sentence for the caller; never holds statement text.
    std::string message;
    /// When a refused request is best sent again; zero if no hint is given.
    duration retry_after{};

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        auto micros = retry_after.count();
        archive(outcome, code, message, micros);
        retry_after = duration(micros);
    }
};

/// An error with verdict `outcome`; `code` is one of `sqlstate`.
[[nodiscard]] inline auto make_error(verdict outcome, std::string_view code,
                                     std::string message,
                                     duration retry_after = {}) -> request_error
{
    return {outcome, std::string(code), std::move(message), retry_after};
}

/// The error of a request that no byte of has reached a target.
[[nodiscard]] inline auto not_run_error(std::string_view code,
                                        std::string message,
                                        duration retry_after = {})
    -> request_error
{
    return make_error(verdict::not_run, code, std::move(message), retry_after);
}

} // namespace rhubarbrun::inline v1

#endif
