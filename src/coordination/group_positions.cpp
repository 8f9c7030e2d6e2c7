#include <rhubarbrun/coordination/group_positions.hpp>

#include <utility>

namespace rhubarbrun::inline v1 {

group_positions::group_positions(replica_choice_options options)
    : choice_(std::move(options))
{
}

auto group_positions::start_query_if_due(time_point now, duration interval)
    -> bool
{
    if (now - last_query_at_ < interval) {
        return false;
    }
    last_query_at_ = now;
    return true;
}

auto group_positions::on_answer(time_point now, time_point asked_at,
                                const directory& view, const zone_id& zone,
                                const target_position& answer) -> void
{
    const auto* const record = view.find_target(answer.target);
    if (record == nullptr || !answer.position) {
        return;
    }
    // The owner read the positions `age` before it answered, hence at most
    // `age` before the query was sent.
    const auto read_at = asked_at - answer.age;
    if (answer.log_end) {
        acknowledged_ = answer.position;
        acknowledged_at_ = asked_at;
        followers_ = answer.followers;
        choice_.on_primary_position(read_at, *answer.log_end);
        for (const auto& target : view.targets_of(record->description.group)) {
            if (!followers_.contains(target)) {
                choice_.on_removed(target);
            }
        }
        for (auto& [target, early] : std::exchange(pending_reports_, {})) {
            if (pending_asked_at_ == asked_at && followers_.contains(target)) {
                choice_.on_report(now, std::move(early));
            }
        }
    } else {
        auto report = replica_report{};
        report.target = answer.target;
        report.zone = record->description.zone;
        const auto is_near = report.zone == zone;
        report.distance = is_near ? std::chrono::milliseconds(0)
                                  : std::chrono::milliseconds(1);
        report.slots = record->description.slots;
        report.replayed = *answer.position;
        report.replayed_at = read_at;
        report.load = answer.load;
        if (followers_.contains(answer.target)) {
            choice_.on_report(now, std::move(report));
        } else {
            if (pending_asked_at_ != asked_at) {
                pending_reports_.clear();
                pending_asked_at_ = asked_at;
            }
            pending_reports_.insert_or_assign(answer.target, std::move(report));
        }
    }
}

auto group_positions::acknowledged_since(time_point since) const
    -> std::optional<log_position>
{
    return acknowledged_at_ >= since ? acknowledged_ : std::nullopt;
}

} // namespace rhubarbrun::inline v1
