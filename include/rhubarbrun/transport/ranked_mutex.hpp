#ifndef RHUBARBRUN_TRANSPORT_RANKED_MUTEX_HPP
#define RHUBARBRUN_TRANSPORT_RANKED_MUTEX_HPP

#include <cstdint>
#include <mutex>

namespace rhubarbrun::inline v1 {

/// The lock order of the shared tables: a thread may take a lock only if its
/// rank is higher than that of each lock it holds already.
enum class lock_rank : std::uint8_t
{
    sessions = 1,
    owned_targets = 2,
    proxy_links = 3,
    peer_links = 4,
    link_queues = 5,
    datagrams = 6,
    announcements = 7,
    control = 8,
    directory = 9,
    metrics = 10,
    /// Taken when a view of the directory is dropped, under any other lock.
    retired_directories = 11,
};

/// A mutex with a rank; the order is checked if the library was built with
/// `RHUBARBRUN_LOCK_CHECKS`.
///
/// A thread that breaks the order ends the process with a message that names
/// both ranks. Meets the BasicLockable requirements.
class ranked_mutex
{
public:
    explicit ranked_mutex(lock_rank rank) noexcept : rank_(rank) {}

    auto lock() -> void;
    auto unlock() -> void;

    [[nodiscard]] auto rank() const noexcept -> lock_rank { return rank_; }

private:
    std::mutex mutex_;
    lock_rank rank_;
};

/// Whether the lock order is checked in this build.
[[nodiscard]] auto are_lock_checks_enabled() noexcept -> bool;

} // namespace rhubarbrun::inline v1

#endif
