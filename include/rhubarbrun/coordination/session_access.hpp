#ifndef RHUBARBRUN_COORDINATION_SESSION_ACCESS_HPP
#define RHUBARBRUN_COORDINATION_SESSION_ACCESS_HPP

#include <rhubarbrun/state/service_configuration.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Whether the key of a session gives access to a route.
enum class access_verdict : std::uint8_t
{
    allowed,
    /// No organisation holds the key.
    unknown_key,
    /// The key may have been revoked since the newest view.
    view_too_old,
};

/// Name for logs, such as "unknown_key".
[[nodiscard]] auto to_string(access_verdict verdict) noexcept
    -> std::string_view;

/// A verdict, and the organisation for which statements run.
struct session_access
{
    access_verdict verdict = access_verdict::allowed;
    /// Empty if the route needs no key, or if access is not allowed.
    organisation_id organisation;
};

/// Decides whether a session may use a route.
///
/// A configuration that revokes a key has to have effect within a time limit on
/// every VM, connected to control or not. The view of a process covers every
/// configuration that was acknowledged up to its age ago, so that a request
/// which arrives while the view is younger than the limit was sent in time.
class access_rules
{
public:
    access_rules() = default;
    /// `revocation_limit` is the time from the acknowledgement of a revocation
    /// to the last request that may run.
    explicit access_rules(std::optional<duration> revocation_limit) noexcept;

    /// Judges a key for a route of the configuration. `view_age` has no value
    /// if there is no view yet.
    [[nodiscard]] auto judge(const service_configuration& configuration,
                             const database_route& route, const key_digest& key,
                             std::optional<duration> view_age) const
        -> session_access;

    /// The age of a view above which keys are not accepted, if there is one.
    [[nodiscard]] auto max_view_age() const noexcept -> std::optional<duration>
    {
        return max_view_age_;
    }

private:
    std::optional<duration> max_view_age_;
};

} // namespace rhubarbrun::inline v1

#endif
