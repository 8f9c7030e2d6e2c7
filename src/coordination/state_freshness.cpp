#include <rhubarbrun/coordination/state_freshness.hpp>

#include <algorithm>
#include <cstddef>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto question_interval = milliseconds(150);
/// Of questions without an answer, or whose entries are not applied yet.
constexpr auto max_questions = std::size_t{16};

} // namespace

auto state_freshness::ask(time_point now) -> std::optional<std::uint64_t>
{
    if (!questions_.empty() &&
        now - questions_.back().asked_at < question_interval) {
        return std::nullopt;
    }
    questions_.push_back({++last_number_, now, std::nullopt});
    if (questions_.size() > max_questions) {
        questions_.pop_front();
    }
    return last_number_;
}

auto state_freshness::on_answer(std::uint64_t number, log_index committed)
    -> void
{
    for (auto& each : questions_) {
        if (each.number == number) {
            each.committed = committed;
        }
    }
    settle();
}

auto state_freshness::on_applied(log_index applied) -> void
{
    applied_ = std::max(applied_, applied);
    settle();
}

auto state_freshness::on_leading(time_point now) -> void
{
    covered_ = std::max(covered_.value_or(now), now);
}

auto state_freshness::settle() -> void
{
    for (const auto& each : questions_) {
        if (each.committed && *each.committed <= applied_) {
            covered_ =
                std::max(covered_.value_or(each.asked_at), each.asked_at);
        }
    }
}

} // namespace rhubarbrun::inline v1
