#ifndef RHUBARBRUN_BENCH_EXPERIMENT_SERVER_HPP
#define RHUBARBRUN_BENCH_EXPERIMENT_SERVER_HPP

#include "experiment_deployment.hpp"
#include "experiment_simulation.hpp"

#include <rhubarbrun/coordination/admission.hpp>
#include <rhubarbrun/coordination/statement_class.hpp>

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace rhubarbrun::bench {

/// What became of a job.
struct job_result
{
    bool has_run = false;
    /// Time between its arrival at the owner and its end there.
    duration elapsed{};
    /// Time in the queue.
    duration waited{};
    /// Time in a slot.
    duration held{};
    duration retry_after{};
};

/// A statement as the owner of a target gets it.
struct job
{
    work_class priority = work_class::lookup;
    std::string shape;
    std::optional<statement_length> hint;
    std::string caller = "caller";
    /// Time that the target takes for it.
    duration service{};
    /// Time until its caller no longer wants the answer.
    duration time_left{};
    std::function<void(const job_result&)> done;
};

/// Settings under which `admission_queue` is the simplest common proxy: an
/// unbounded queue, first come first served.
[[nodiscard]] auto first_come_options() -> admission_options;

/// An owner with its real queue and classifier, and a fake target.
class served_target
{
public:
    served_target(simulation& events, const deployment& place,
                  admission_options options);

    auto submit(job work) -> void;

    [[nodiscard]] auto load() const noexcept -> std::uint32_t
    {
        return queue_.load();
    }

    /// Time that a statement holds its slot beyond its service: the way to the
    /// target, in the owner's zone, and back.
    [[nodiscard]] auto overhead() const noexcept -> duration
    {
        return overhead_;
    }

private:
    struct live_job
    {
        job work;
        time_point arrived;
        time_point started;
    };

    auto pump() -> void;
    auto run(admission_ticket ticket) -> void;
    auto finish(admission_ticket ticket) -> void;
    auto refuse(admission_ticket ticket, const request_error& error) -> void;
    auto set_timer() -> void;

    simulation& events_;
    admission_queue queue_;
    statement_classifier classes_;
    duration overhead_;
    admission_ticket last_ticket_;
    std::unordered_map<admission_ticket, live_job> jobs_;
    std::optional<time_point> timer_;
};

} // namespace rhubarbrun::bench

#endif
