#include <rhubarbrun/coordination/server_pace.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

namespace {

/// Pacing ends after this long whatever was learned.
constexpr auto max_pace_time = std::chrono::seconds(8);
/// Smallest windows of all processes together, as multiples of the server's
/// slots. Not every process has a statement at a time: of the statements to a
/// restarted server with 300 processes, 0.79, 0.88 and 0.90 met their objective
/// with 1, 2 and 3 (server_pace_test.cpp).
constexpr auto statement_part = 3.0;
constexpr auto connection_part = 1.0;
/// Pacing ends at a window of this multiple of the process's share of the
/// slots, but not below one statement at a time.
constexpr auto grown_multiple = 6.0;
/// Factor of a window below one for a good answer. Such a process has few
/// answers, each after a pause of many service times.
constexpr auto growth = 2.0;
/// Factors of a window for a slow answer and for a refusal.
constexpr auto slow_factor = 0.7;
constexpr auto refusal_factor = 0.5;
/// An answer is good up to this multiple of the idle server's time, and slow
/// from the other one. With one waiting statement for each slot it takes twice
/// as long.
constexpr auto good_multiple = 1.5;
constexpr auto slow_multiple = 2.5;
/// Differences below this are those of the network and of event loops.
constexpr auto time_noise = milliseconds(3);
/// Multiple of the idle server's time up to which an answer lengthens pauses.
constexpr auto pause_multiple = 1.5;
/// Weights of a shorter and a longer sample in the idle server's time. It
/// follows shorter ones at once, also while a server warms up.
constexpr auto shorter_weight = 0.5;
constexpr auto longer_weight = 0.02;
/// Weight of a sample in the usual time.
constexpr auto time_weight = 0.3;

auto scaled(duration time, double factor) -> duration
{
    return duration(
        static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

/// Time that determines the pauses of a window. A queue that is gone does not
/// lengthen them.
auto without_queue(duration time, duration unloaded) -> duration
{
    return std::min(time, scaled(unloaded, pause_multiple));
}

auto fair_part(const pace_terms& terms) -> double
{
    return static_cast<double>(std::max(1U, terms.slots)) /
           static_cast<double>(std::max(1U, terms.processes));
}

} // namespace

auto to_string(pace_cause cause) noexcept -> std::string_view
{
    return cause == pace_cause::started ? "started" : "recovered";
}

auto to_string(pace_end end) noexcept -> std::string_view
{
    switch (end) {
    case pace_end::window_grown:
        return "window_grown";
    case pace_end::time_over:
        return "time_over";
    case pace_end::begun_again:
        return "begun_again";
    }
    return "unknown";
}

auto pace_window::reset(time_point now, double minimum, double maximum,
                        duration usual_time, std::uint64_t random) -> void
{
    minimum_ = minimum;
    maximum_ = std::max(minimum, maximum);
    size_ = minimum;
    usual_time_ = usual_time;
    shrunk_at_ = now;
    constexpr auto parts = std::uint64_t{1000};
    used_at_ = now;
    phase_ = static_cast<double>(random % parts) / parts;
}

auto pace_window::rescale(double factor, double minimum) noexcept -> void
{
    minimum_ = minimum;
    maximum_ = std::max(maximum_, minimum);
    size_ = std::clamp(size_ * factor, minimum_, maximum_);
}

auto pace_window::pause() const -> duration
{
    return size_ >= 1 ? duration::zero() : scaled(usual_time_, 1 / size_);
}

auto pace_window::next_at() const -> time_point
{
    return used_at_ + scaled(pause(), phase_);
}

auto pace_window::may_use(time_point now, std::size_t in_use) const -> bool
{
    return static_cast<double>(in_use) + 1 <= std::max(1.0, size_) &&
           now >= next_at();
}

auto pace_window::on_use(time_point now) -> void
{
    // A use that began a little late does not delay the next one.
    used_at_ = std::max(next_at(), now - pause() / 2);
    phase_ = 1;
}

auto pace_window::on_time(duration time) -> void
{
    usual_time_ += scaled(time - usual_time_, time_weight);
}

auto pace_window::grow() -> void
{
    size_ = std::min(size_ < 1 ? size_ * growth : size_ + 1 / size_, maximum_);
}

auto pace_window::shrink(time_point now, double factor) -> void
{
    if (now - shrunk_at_ >= usual_time_) {
        shrunk_at_ = now;
        size_ = std::max(minimum_, size_ * factor);
    }
}

auto server_pace::begin(time_point now, pace_cause cause,
                        const pace_terms& terms, duration answer_time,
                        duration connect_time, std::uint64_t random) -> void
{
    cause_ = cause;
    terms_ = terms;
    begun_at_ = now;
    if (cause == pace_cause::started) {
        // It may be another machine, or slow until its caches are filled.
        unloaded_.clear();
    }
    const auto part = fair_part(terms);
    statements_.reset(now, part * statement_part, terms.slots, answer_time,
                      random);
    connections_.reset(now, part * connection_part, terms.slots, connect_time,
                       random);
}

auto server_pace::set_terms(const pace_terms& terms) -> void
{
    if (!is_active()) {
        return;
    }
    const auto factor = fair_part(terms) / fair_part(terms_);
    const auto part = fair_part(terms);
    terms_ = terms;
    statements_.rescale(factor, part * statement_part);
    connections_.rescale(factor, part * connection_part);
}

auto server_pace::due_end(time_point now) const -> std::optional<pace_end>
{
    if (!is_active()) {
        return std::nullopt;
    }
    if (elapsed(now) >= max_pace_time) {
        return pace_end::time_over;
    }
    const auto enough = std::min<double>(
        terms_.slots, std::max(1.0, grown_multiple * fair_part(terms_)));
    const auto is_grown = statements_.size() >= enough;
    return is_grown && elapsed(now) > duration::zero()
               ? std::optional(pace_end::window_grown)
               : std::nullopt;
}

auto server_pace::judge(std::optional<duration>& unloaded, duration time)
    -> quality
{
    if (!unloaded) {
        unloaded = time;
        return quality::fair;
    }
    const auto result =
        time <= scaled(*unloaded, good_multiple) + time_noise  ? quality::good
        : time > scaled(*unloaded, slow_multiple) + time_noise ? quality::slow
                                                               : quality::fair;
    *unloaded += scaled(time - *unloaded,
                        time < *unloaded ? shorter_weight : longer_weight);
    return result;
}

auto server_pace::apply(time_point now, pace_window& window, quality value)
    -> void
{
    if (value == quality::good) {
        window.grow();
    } else if (value == quality::slow) {
        window.shrink(now, slow_factor);
    }
}

auto server_pace::on_answer(time_point now, std::uint8_t kind, duration time)
    -> void
{
    auto& unloaded = unloaded_[kind];
    const auto value = judge(unloaded, time);
    if (is_active()) {
        statements_.on_time(without_queue(time, *unloaded));
        apply(now, statements_, value);
    }
}

auto server_pace::on_connected(time_point now, duration time) -> void
{
    const auto value = judge(unloaded_connect_, time);
    if (is_active()) {
        connections_.on_time(without_queue(time, *unloaded_connect_));
        // Otherwise the pauses of both windows would add up.
        statements_.end_pause(now);
        apply(now, connections_, value);
    }
}

auto server_pace::on_refused(time_point now) -> void
{
    statements_.shrink(now, refusal_factor);
    connections_.shrink(now, refusal_factor);
}

auto server_pace::on_connection_refused(time_point now) -> void
{
    connections_.shrink(now, refusal_factor);
}

} // namespace rhubarbrun::inline v1
