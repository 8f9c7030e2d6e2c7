#include <rhubarbrun/coordination/session_access.hpp>

namespace rhubarbrun::inline v1 {

namespace {

/// Part of the limit, in percent, that is left for the drift of two clocks and
/// for one iteration of an event loop. The drift of clocks that are not
/// synchronised is far below a percent.
constexpr auto revocation_margin_percentage = 10;

} // namespace

auto to_string(access_verdict verdict) noexcept -> std::string_view
{
    switch (verdict) {
    case access_verdict::allowed:
        return "allowed";
    case access_verdict::unknown_key:
        return "unknown_key";
    case access_verdict::view_too_old:
        return "view_too_old";
    }
    return "unknown";
}

access_rules::access_rules(std::optional<duration> revocation_limit) noexcept
{
    if (revocation_limit) {
        max_view_age_ =
            *revocation_limit * (100 - revocation_margin_percentage) / 100;
    }
}

auto access_rules::judge(const service_configuration& configuration,
                         const database_route& route, const key_digest& key,
                         std::optional<duration> view_age) const
    -> session_access
{
    // Where revocations are strict, a configuration without organisations has
    // revoked every key.
    const auto needs_key =
        !configuration.organisations.empty() || max_view_age_.has_value();
    if (route.is_public || !needs_key) {
        return {};
    }
    if (max_view_age_ && (!view_age || *view_age > *max_view_age_)) {
        return {access_verdict::view_too_old, {}};
    }
    const auto* const holder = configuration.find_holder(key);
    if (holder == nullptr) {
        return {access_verdict::unknown_key, {}};
    }
    return {access_verdict::allowed, holder->id};
}

} // namespace rhubarbrun::inline v1
