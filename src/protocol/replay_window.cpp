#include <rhubarbrun/protocol/replay_window.hpp>

namespace rhubarbrun::inline v1 {

auto replay_window::accept(std::uint64_t sequence) noexcept -> bool
{
    if (sequence == 0) {
        return false;
    }
    if (sequence > highest_) {
        const auto shift = sequence - highest_;
        accepted_ = shift < width ? accepted_ << shift : 0;
        accepted_ |= 1U;
        highest_ = sequence;
        return true;
    }
    const auto age = highest_ - sequence;
    if (age >= width) {
        return false;
    }
    const auto bit = std::uint64_t{1} << age;
    const auto is_new = (accepted_ & bit) == 0;
    accepted_ |= bit;
    return is_new;
}

} // namespace rhubarbrun::inline v1
