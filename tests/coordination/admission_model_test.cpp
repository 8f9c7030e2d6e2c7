#include "property_check.hpp"

#include <rhubarbrun/coordination/admission.hpp>

#include <doctest/doctest.h>

#include <map>
#include <numeric>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

constexpr auto limits = admission_limits{3, 8, 2, 0, 0, 0};
constexpr auto usable_connections = 6U;
constexpr auto slots = 3U;

/// One random step; the numbers select among the possible operations.
struct step
{
    int kind = 0;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

auto operator<<(std::ostream& out, const step& value) -> std::ostream&
{
    return out << value.kind << '/' << value.first << '/' << value.second;
}

auto any_steps() -> rc::Gen<std::vector<step>>
{
    return rc::gen::container<std::vector<step>>(rc::gen::build<step>(
        rc::gen::set(&step::kind, rc::gen::inRange(0, 15)),
        rc::gen::set(&step::first, rc::gen::inRange(0U, 1000U)),
        rc::gen::set(&step::second, rc::gen::inRange(0U, 1000U))));
}

/// Runs a queue and a reference model that records the outcome of each ticket.
class admission_model
{
public:
    explicit admission_model(admission_fault fault)
        : queue_(limits, make_options(fault))
    {
    }

    auto apply(const step& action) -> void
    {
        switch (action.kind) {
        case 6:
        case 12:
        case 13:
        case 14:
            finish(action.first, action.second % 2 == 0);
            break;
        case 7:
            cancel(action.first);
            break;
        case 8:
            close_transaction(action.first);
            break;
        case 9:
            now_ += std::chrono::milliseconds(action.first % 100);
            break;
        case 10:
            start_all();
            break;
        case 11:
            refuse_late();
            break;
        default:
            offer(action.first, action.second, action.kind == 5);
        }
        check_limits();
    }

    /// Checks that each offered statement has exactly one outcome.
    auto finish_all() -> void
    {
        now_ += 1h;
        refuse_late();
        RC_ASSERT(waiting_.empty());
        while (!running_.empty()) {
            finish(0, false);
        }
        RC_ASSERT(queue_.snapshot().running == 0U);
        RC_ASSERT(queue_.load() == 0U);
    }

private:
    struct running
    {
        std::optional<pin_id> pin;
    };

    static auto make_options(admission_fault fault) -> admission_options
    {
        auto options = admission_options{};
        options.fault = fault;
        options.queue_length = 12;
        return options;
    }

    auto offer(std::uint32_t first, std::uint32_t second, bool is_pinned)
        -> void
    {
        if (is_pinned && transactions_.empty()) {
            return;
        }
        auto request = admission_request{};
        last_ticket_ = last_ticket_.next();
        request.ticket = last_ticket_;
        request.priority = static_cast<work_class>(first % 3);
        request.estimate = {static_cast<statement_length>(second % 3),
                            std::chrono::milliseconds(1 + (second % 40))};
        request.caller = std::to_string(first % 4);
        request.database = std::to_string(second % 2);
        request.deadline = now_ + std::chrono::milliseconds(first);
        request.opens_transaction = second % 5 == 0;
        request.shape = std::to_string(first % 7);
        if (is_pinned) {
            request.pin =
                std::next(transactions_.begin(), first % transactions_.size())
                    ->first;
        }
        waiting_.emplace(last_ticket_, request);
        const auto result = queue_.offer(now_, request);
        if (std::holds_alternative<admitted_now>(result)) {
            on_started(last_ticket_);
        } else if (const auto* error = std::get_if<request_error>(&result)) {
            RC_ASSERT(error->outcome == verdict::not_run);
            waiting_.erase(last_ticket_);
        }
        start_all();
    }

    auto on_started(admission_ticket ticket) -> void
    {
        const auto found = waiting_.find(ticket);
        RC_ASSERT(found != waiting_.end());
        const auto& request = found->second;
        RC_ASSERT(now_ <= request.deadline);
        if (request.pin) {
            RC_ASSERT(transactions_.contains(*request.pin));
            RC_ASSERT(!transactions_.at(*request.pin));
            transactions_.at(*request.pin) = true;
        } else {
            ++singles_;
        }
        running_.emplace(ticket, running{request.pin});
        waiting_.erase(found);
    }

    auto start_all() -> void
    {
        while (const auto ticket = queue_.start_next(now_)) {
            on_started(*ticket);
        }
    }

    auto refuse_late() -> void
    {
        for (const auto& refused : queue_.expire(now_)) {
            RC_ASSERT(refused.error.outcome == verdict::not_run);
            RC_ASSERT(waiting_.erase(refused.ticket) == 1U);
        }
    }

    auto finish(std::uint32_t index, bool opens) -> void
    {
        if (running_.empty()) {
            return;
        }
        const auto found = std::next(running_.begin(), index % running_.size());
        const auto [ticket, statement] = *found;
        running_.erase(found);
        if (statement.pin) {
            const auto entry = transactions_.find(*statement.pin);
            if (entry != transactions_.end()) {
                entry->second = false;
            } else {
                --singles_;
            }
        } else {
            --singles_;
            if (opens) {
                last_pin_ = last_pin_.next();
                transactions_.emplace(last_pin_, false);
                queue_.on_transaction_opened(ticket, last_pin_);
            }
        }
        queue_.on_finished(now_, ticket, 5ms);
        start_all();
    }

    auto cancel(std::uint32_t index) -> void
    {
        if (waiting_.empty()) {
            return;
        }
        refuse_late();
        if (waiting_.empty()) {
            return;
        }
        const auto ticket =
            std::next(waiting_.begin(), index % waiting_.size())->first;
        RC_ASSERT(queue_.cancel(ticket));
        RC_ASSERT(!queue_.cancel(ticket));
        waiting_.erase(ticket);
    }

    auto close_transaction(std::uint32_t index) -> void
    {
        if (transactions_.empty()) {
            return;
        }
        const auto found =
            std::next(transactions_.begin(), index % transactions_.size());
        singles_ += found->second ? 1U : 0U;
        queue_.on_transaction_closed(found->first);
        transactions_.erase(found);
        start_all();
        refuse_late();
    }

    auto check_limits() -> void
    {
        RC_ASSERT(running_.size() <= slots);
        RC_ASSERT(singles_ + transactions_.size() <= usable_connections);
        refuse_late();
        const auto state = queue_.snapshot();
        const auto waiting = std::accumulate(
            state.waiting.begin(), state.waiting.end(), std::size_t{0});
        RC_ASSERT(waiting == waiting_.size());
        RC_ASSERT(state.running == running_.size());
        RC_ASSERT(state.connections_in_use == singles_ + transactions_.size());
    }

    admission_queue queue_;
    time_point now_ = time_point(1h);
    admission_ticket last_ticket_;
    pin_id last_pin_;
    std::map<admission_ticket, admission_request> waiting_;
    std::map<admission_ticket, running> running_;
    /// The value is true while a statement of the transaction runs.
    std::map<pin_id, bool> transactions_;
    std::uint32_t singles_ = 0;
};

auto failure_with(admission_fault fault) -> std::string
{
    return tests::find_failure([fault] {
        const auto steps = *any_steps();
        auto model = admission_model(fault);
        for (const auto& action : steps) {
            model.apply(action);
        }
        model.finish_all();
    });
}

} // namespace

TEST_CASE("random work exceeds no limit and gets one outcome per statement")
{
    CHECK(failure_with(admission_fault::none) == "");
}

TEST_CASE("the model detects one slot too many")
{
    CHECK(failure_with(admission_fault::one_slot_too_many) != "");
}

TEST_CASE("the model detects one connection too many")
{
    CHECK(failure_with(admission_fault::one_connection_too_many) != "");
}

TEST_CASE("the model detects a statement that is lost when its deadline passes")
{
    CHECK(failure_with(admission_fault::forget_expired) != "");
}
