#include <rhubarbrun/transport/ranked_mutex.hpp>

#include <glog/logging.h>

#include <vector>

namespace rhubarbrun::inline v1 {

#ifdef RHUBARBRUN_LOCK_CHECKS

namespace {

auto held_ranks() -> std::vector<lock_rank>&
{
    thread_local auto ranks = std::vector<lock_rank>{};
    return ranks;
}

auto check_order(lock_rank wanted) -> void
{
    for (const auto held : held_ranks()) {
        LOG_IF(FATAL, held >= wanted)
            << "event=lock_order_broken held=" << static_cast<int>(held)
            << " wanted=" << static_cast<int>(wanted);
    }
}

} // namespace

auto ranked_mutex::lock() -> void
{
    check_order(rank_);
    mutex_.lock();
    held_ranks().push_back(rank_);
}

auto ranked_mutex::unlock() -> void
{
    std::erase(held_ranks(), rank_);
    mutex_.unlock();
}

auto are_lock_checks_enabled() noexcept -> bool
{
    return true;
}

#else

auto ranked_mutex::lock() -> void
{
    mutex_.lock();
}

auto ranked_mutex::unlock() -> void
{
    mutex_.unlock();
}

auto are_lock_checks_enabled() noexcept -> bool
{
    return false;
}

#endif

} // namespace rhubarbrun::inline v1
