#ifndef RHUBARBRUN_TESTS_TRANSPORT_LOOPBACK_HPP
#define RHUBARBRUN_TESTS_TRANSPORT_LOOPBACK_HPP

#include <rhubarbrun/transport/asio.hpp>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace rhubarbrun::test {

/// Longest wait for something that must happen; far above what it takes, as
/// sanitizers and a busy machine slow everything down.
inline constexpr auto patience = std::chrono::seconds(30);

template <class Protocol = asio::ip::tcp>
auto any_port() -> typename Protocol::endpoint
{
    return {asio::ip::address_v4::loopback(), 0};
}

/// Shared facts that hooks change and tests wait for.
class watched
{
public:
    auto change(const std::function<void()>& action) -> void
    {
        const auto lock = std::lock_guard(mutex_);
        action();
        changed_.notify_all();
    }

    /// Waits until `condition` holds; returns whether it does.
    auto wait(const std::function<bool()>& condition) -> bool
    {
        auto lock = std::unique_lock(mutex_);
        return changed_.wait_for(lock, patience, condition);
    }

    auto get(const std::function<bool()>& condition) -> bool
    {
        const auto lock = std::lock_guard(mutex_);
        return condition();
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
};

} // namespace rhubarbrun::test

#endif
