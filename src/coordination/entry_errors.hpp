#ifndef RHUBARBRUN_SRC_COORDINATION_ENTRY_ERRORS_HPP
#define RHUBARBRUN_SRC_COORDINATION_ENTRY_ERRORS_HPP

#include <rhubarbrun/state/request_error.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace rhubarbrun::detail {

/// The error of a request that no byte of has left this proxy.
inline auto not_run(std::string_view code, std::string message,
                    duration retry_after = {}) -> request_error
{
    return {verdict::not_run, std::string(code), std::move(message),
            retry_after};
}

} // namespace rhubarbrun::detail

#endif
