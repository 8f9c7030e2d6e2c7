#include <rhubarbrun/coordination/target_announcements.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto max_address_length = std::size_t{45};
constexpr auto max_slots = std::uint32_t{1000};
constexpr auto max_connection_limit = std::uint32_t{10'000};

auto is_name(std::string_view text) -> bool
{
    constexpr auto allowed = std::string_view(
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.");
    return !text.empty() && text.size() <= bundle_limits::longest_name &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

auto is_address(std::string_view text) -> bool
{
    constexpr auto allowed = std::string_view("0123456789abcdefABCDEF.:");
    return !text.empty() && text.size() <= max_address_length &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

auto is_valid(const target_announcement& announcement) -> bool
{
    return is_name(announcement.id.value()) &&
           is_name(announcement.zone.value()) &&
           is_address(announcement.address) && announcement.port != 0 &&
           announcement.slots >= 1 && announcement.slots <= max_slots &&
           announcement.connection_limit >= 1 &&
           announcement.connection_limit <= max_connection_limit;
}

auto ttl_of(const directory& copy) -> duration
{
    const auto timings =
        copy.bundle() ? copy.bundle()->timings : bundle_timings{};
    return std::chrono::milliseconds(timings.announcement_ttl_ms);
}

} // namespace

auto to_string(announcement_outcome outcome) noexcept -> std::string_view
{
    switch (outcome) {
    case announcement_outcome::accepted:
        return "accepted";
    case announcement_outcome::unknown_database:
        return "unknown_database";
    case announcement_outcome::invalid:
        return "invalid";
    case announcement_outcome::too_many:
        return "too_many";
    }
    return "unknown";
}

target_announcements::target_announcements(proxy_identity self)
    : self_(std::move(self))
{
}

auto target_announcements::on_announcement(
    time_point now, const target_announcement& announcement,
    const directory& copy) -> announcement_outcome
{
    if (!is_valid(announcement)) {
        return announcement_outcome::invalid;
    }
    const auto* const group = copy.find_by_database(announcement.database);
    if (group == nullptr) {
        return announcement_outcome::unknown_database;
    }
    remove_expired(now, ttl_of(copy));
    if (targets_.size() >= max_targets && !targets_.contains(announcement.id)) {
        return announcement_outcome::too_many;
    }
    auto& target = targets_[announcement.id];
    received_times_.erase({target.received_at, announcement.id});
    received_times_.emplace(now, announcement.id);
    target.received_at = now;
    target.description = {announcement.id,
                          group->config.id,
                          announcement.address,
                          announcement.port,
                          announcement.zone,
                          announcement.slots,
                          announcement.connection_limit};
    const auto* const known = copy.find_target(announcement.id);
    const auto has_changed =
        announcement.is_leaving && !target.is_leaving &&
        (known == nullptr || known->presence == target_presence::present);
    target.is_leaving = announcement.is_leaving;
    is_report_urgent_ = is_report_urgent_ || has_changed;
    unreported_.insert(announcement.id);
    return announcement_outcome::accepted;
}

auto target_announcements::remove_expired(time_point now, duration ttl) -> void
{
    while (!received_times_.empty() &&
           received_times_.begin()->first + ttl <= now) {
        const auto& id = received_times_.begin()->second;
        targets_.erase(id);
        unreported_.erase(id);
        unconfirmed_.erase(id);
        received_times_.erase(received_times_.begin());
    }
}

auto target_announcements::report_entry(time_point now, const target_id& id,
                                        const received_announcement& target,
                                        const directory& copy) const
    -> reported_target
{
    const auto* const known = copy.find_target(id);
    auto entry = reported_target{};
    entry.id = id;
    entry.age_ms =
        static_cast<std::uint32_t>(to_milliseconds(now - target.received_at));
    entry.is_leaving = target.is_leaving;
    if (known == nullptr || known->description != target.description) {
        entry.description = target.description;
    }
    return entry;
}

auto target_announcements::take_report(time_point now, const directory& copy)
    -> std::optional<announcement_report>
{
    remove_expired(now, ttl_of(copy));
    const auto due = next_report();
    if (!due || *due > now) {
        return std::nullopt;
    }
    auto report = announcement_report{self_, {}};
    auto candidates = std::exchange(unreported_, {});
    const auto fresh = candidates;
    candidates.merge(unconfirmed_);
    unconfirmed_.clear();
    for (const auto& id : candidates) {
        auto entry = report_entry(now, id, targets_.at(id), copy);
        const auto* const known = copy.find_target(id);
        const auto has_changed =
            entry.description ||
            (entry.is_leaving && known->presence == target_presence::present);
        if (has_changed) {
            unconfirmed_.insert(id);
        }
        if (has_changed || fresh.contains(id)) {
            report.targets.push_back(std::move(entry));
        }
    }
    is_report_urgent_ = false;
    last_report_ = now;
    if (report.targets.empty()) {
        return std::nullopt;
    }
    return report;
}

auto target_announcements::next_report() const -> std::optional<time_point>
{
    if (unreported_.empty() && unconfirmed_.empty()) {
        return std::nullopt;
    }
    if (is_report_urgent_ || !last_report_) {
        return time_point::min();
    }
    return *last_report_ + report_interval;
}

} // namespace rhubarbrun::inline v1
