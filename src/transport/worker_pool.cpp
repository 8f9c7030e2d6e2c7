#include <rhubarbrun/transport/worker_pool.hpp>

#include <rhubarbrun/transport/event_log.hpp>

#include <time.h> // clock_gettime is POSIX

#include <algorithm>
#include <chrono>
#include <exception>

namespace rhubarbrun::inline v1 {

worker_pool::worker_pool(std::size_t threads)
    : work_(asio::make_work_guard(context_))
{
    const auto count = std::max(threads, std::size_t{1});
    threads_.reserve(count);
    for (auto index = std::size_t{0}; index < count; ++index) {
        threads_.emplace_back([this] { run(); });
    }
}

worker_pool::~worker_pool()
{
    stop();
}

auto worker_pool::stop() -> void
{
    work_.reset();
    context_.stop();
    for (auto& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

auto worker_pool::run() -> void
{
    run_handlers(context_);
}

auto run_handlers(asio::io_context& context) -> void
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception& fault) {
            log_event("handler_failed", event_severity::error)
                .field("reason", fault.what());
        }
    }
}

auto steady_now() noexcept -> time_point
{
    // The monotonic clock stands still while a VM is suspended; leases and
    // ages must not.
    auto now = timespec{};
    if (::clock_gettime(CLOCK_BOOTTIME, &now) != 0) {
        std::terminate();
    }
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace rhubarbrun::inline v1
