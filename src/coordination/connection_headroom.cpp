#include <rhubarbrun/coordination/connection_headroom.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

namespace {

/// A burst beyond twice the share would fill the room that is kept free.
constexpr auto burst_factor = std::size_t{2};
constexpr auto scarce_burst_size = std::size_t{3};

} // namespace

connection_share::connection_share(std::uint32_t limit,
                                   std::uint32_t processes) noexcept
    : size_(std::max(1U, limit / 2 / std::max(processes, 1U))),
      is_scarce_(limit < processes)
{
}

auto connection_share::burst_size() const noexcept -> std::size_t
{
    return is_scarce_ ? scarce_burst_size : size_ * burst_factor;
}

} // namespace rhubarbrun::inline v1
