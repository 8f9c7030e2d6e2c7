#ifndef RHUBARBRUN_COORDINATION_SERVER_PATH_HPP
#define RHUBARBRUN_COORDINATION_SERVER_PATH_HPP

#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Selects how connections reach one server: directly, or through another
/// process (a detour) while the server cannot be reached directly.
class server_path
{
public:
    /// Sets the IP addresses of the processes that can reach the server.
    auto set_detours(std::vector<std::string> addresses) -> void;

    /// Returns the address of the process through which to open a new
    /// connection; empty for a direct connection. Direct connections are
    /// retried periodically while a detour is in use.
    [[nodiscard]] auto choose(time_point now) -> std::string;

    auto on_opened(const std::string& way) -> void;
    auto on_failed(time_point now, const std::string& way) -> void;

    /// Whether direct connections fail and a detour is known.
    [[nodiscard]] auto has_detour() const noexcept -> bool
    {
        return is_direct_failing_ && !detours_.empty();
    }

    /// Whether a direct connection should be retried.
    [[nodiscard]] auto is_direct_due(time_point now) const noexcept -> bool
    {
        return has_detour() && now >= direct_not_before_;
    }

    /// Whether a detour is known that has not failed since the last successful
    /// connection.
    [[nodiscard]] auto has_usable_detour() const noexcept -> bool
    {
        return has_detour() && failures_ < detours_.size();
    }

private:
    std::vector<std::string> detours_;
    std::size_t next_ = 0;
    /// Number of consecutive detour failures.
    std::size_t failures_ = 0;
    bool is_direct_failing_ = false;
    time_point direct_not_before_;
};

} // namespace rhubarbrun::inline v1

#endif
