#ifndef RHUBARBRUN_PROTOCOL_REPLAY_WINDOW_HPP
#define RHUBARBRUN_PROTOCOL_REPLAY_WINDOW_HPP

#include <cstdint>

namespace rhubarbrun::inline v1 {

/// Accepts each sequence number of a datagram stream at most once.
///
/// Numbers may arrive out of order within the window; older ones are refused,
/// as they cannot be told from replayed ones.
class replay_window
{
public:
    /// How far behind the highest number a late one may be.
    static constexpr std::uint64_t width = 64;

    /// Records `sequence`; returns whether it is new. 0 is never accepted.
    [[nodiscard]] auto accept(std::uint64_t sequence) noexcept -> bool;

private:
    std::uint64_t highest_ = 0;
    /// Bit n is set if `highest_ - n` was accepted.
    std::uint64_t accepted_ = 0;
};

} // namespace rhubarbrun::inline v1

#endif
