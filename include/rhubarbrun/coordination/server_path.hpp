#ifndef RHUBARBRUN_COORDINATION_SERVER_PATH_HPP
#define RHUBARBRUN_COORDINATION_SERVER_PATH_HPP

#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Which way connections to one server take: directly, or through another
/// process (a detour) while the server cannot be reached directly.
class server_path
{
public:
    /// Processes that reach the server, by IP address.
    auto set_detours(std::vector<std::string> addresses) -> void;

    /// The way for a new connection: the address of a process, or an empty one
    /// for the direct way, which is also tried from time to time.
    [[nodiscard]] auto choose(time_point now) -> std::string;

    auto on_opened(const std::string& way) -> void;
    auto on_failed(time_point now, const std::string& way) -> void;

    /// Whether a detour is known for a server that is not reached directly.
    [[nodiscard]] auto has_detour() const noexcept -> bool
    {
        return is_direct_failing_ && !detours_.empty();
    }

    /// Whether the direct way should be tried again.
    [[nodiscard]] auto is_direct_due(time_point now) const noexcept -> bool
    {
        return has_detour() && now >= direct_not_before_;
    }

    /// Whether a detour is known that has not failed since one worked.
    [[nodiscard]] auto has_usable_detour() const noexcept -> bool
    {
        return has_detour() && failures_ < detours_.size();
    }

private:
    std::vector<std::string> detours_;
    std::size_t next_ = 0;
    /// Detours that failed in a row.
    std::size_t failures_ = 0;
    bool is_direct_failing_ = false;
    time_point direct_not_before_;
};

} // namespace rhubarbrun::inline v1

#endif
