#include <rhubarbrun/coordination/server_path.hpp>

#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Interval of direct connection attempts while a detour is in use; an attempt
/// may take most of a second.
constexpr auto direct_retry_interval = std::chrono::seconds(2);

} // namespace

auto server_path::set_detours(std::vector<std::string> addresses) -> void
{
    if (addresses != detours_) {
        detours_ = std::move(addresses);
        failures_ = 0;
    }
}

auto server_path::choose(time_point now) -> std::string
{
    if (!has_detour()) {
        return {};
    }
    if (is_direct_due(now)) {
        direct_not_before_ = now + direct_retry_interval;
        return {};
    }
    return detours_.at(next_ % detours_.size());
}

auto server_path::on_opened(const std::string& way) -> void
{
    failures_ = 0;
    if (way.empty()) {
        is_direct_failing_ = false;
    }
}

auto server_path::on_failed(time_point now, const std::string& way) -> void
{
    if (way.empty()) {
        is_direct_failing_ = true;
        direct_not_before_ = now + direct_retry_interval;
        return;
    }
    ++failures_;
    ++next_;
}

} // namespace rhubarbrun::inline v1
