#include <rhubarbrun/coordination/fencing_sequence.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

namespace {

/// Orders of one leader that get numbers of their own; those beyond share the
/// last one, so that a later leader's numbers stay higher.
constexpr auto orders_per_term = std::uint64_t{1} << 20U;

} // namespace

auto fencing_sequence::next(election_term current) noexcept -> std::uint64_t
{
    if (current != term_) {
        term_ = current;
        orders_ = 0;
    }
    orders_ = std::min(orders_ + 1, orders_per_term - 1);
    return current.value() * orders_per_term + orders_;
}

} // namespace rhubarbrun::inline v1
