#ifndef RHUBARBRUN_TRANSPORT_WORKER_POOL_HPP
#define RHUBARBRUN_TRANSPORT_WORKER_POOL_HPP

#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/asio.hpp>

#include <cstddef>
#include <thread>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Threads that run one io_context.
class worker_pool
{
public:
    /// Starts `threads` threads, at least one.
    explicit worker_pool(std::size_t threads);
    /// Stops.
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    auto operator=(const worker_pool&) -> worker_pool& = delete;

    [[nodiscard]] auto context() noexcept -> asio::io_context&
    {
        return context_;
    }

    /// Ends the threads after the handlers that run now, and waits for them;
    /// must not be called from one of them.
    auto stop() -> void;

private:
    auto run() -> void;

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::thread> threads_;
};

/// Runs the handlers of an io_context until it is stopped or has no more work.
/// An exception that leaves a handler is logged, and the others go on: one
/// handler's fault must not end the service of all others.
auto run_handlers(asio::io_context& context) -> void;

/// Microseconds since the VM's start, time in suspension included.
[[nodiscard]] auto steady_now() noexcept -> time_point;

} // namespace rhubarbrun::inline v1

#endif
