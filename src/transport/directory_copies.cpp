#include <rhubarbrun/transport/directory_copies.hpp>

#include <mutex>
#include <utility>

namespace rhubarbrun::inline v1 {

directory_copies::directory_copies()
    : newest_(publish(std::make_unique<directory>()))
{
}

auto directory_copies::apply(const directory_delta& delta) -> delta_outcome
{
    if (delta.up_to <= newest_->index()) {
        return delta_outcome::stale;
    }
    auto changed = take_writable();
    const auto outcome = changed->apply(delta);
    if (outcome != delta_outcome::applied) {
        const auto lock = std::lock_guard(retired_->mutex);
        retired_->last = std::move(changed);
        return outcome;
    }
    if (delta.is_complete) {
        // Large, and no cheaper to apply than a copy.
        deltas_.clear();
    } else {
        if (deltas_.size() == most_deltas) {
            deltas_.pop_front();
        }
        deltas_.push_back(delta);
    }
    newest_ = publish(std::move(changed));
    return outcome;
}

auto directory_copies::take_writable() -> std::unique_ptr<directory>
{
    auto unused = std::unique_ptr<directory>{};
    {
        const auto lock = std::lock_guard(retired_->mutex);
        unused = std::move(retired_->last);
    }
    if (unused) {
        // Those that it holds already are stale and change nothing.
        for (const auto& delta : deltas_) {
            unused->apply(delta);
        }
        if (unused->index() == newest_->index()) {
            return unused;
        }
    }
    ++full_copies_;
    return std::make_unique<directory>(*newest_);
}

auto directory_copies::publish(std::unique_ptr<directory> changed) const
    -> std::shared_ptr<const directory>
{
    // The lock of the retired view orders its readers before the next changes.
    const auto retire = [to = retired_](directory* dropped) {
        auto owned = std::unique_ptr<directory>(dropped);
        const auto lock = std::lock_guard(to->mutex);
        std::swap(to->last, owned);
    };
    return {changed.release(), retire};
}

} // namespace rhubarbrun::inline v1
