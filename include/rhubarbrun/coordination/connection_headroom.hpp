#ifndef RHUBARBRUN_COORDINATION_CONNECTION_HEADROOM_HPP
#define RHUBARBRUN_COORDINATION_CONNECTION_HEADROOM_HPP

#include <cstddef>
#include <cstdint>

namespace rhubarbrun::inline v1 {

/// A process's part of the connections that a server accepts.
///
/// A server holds the connections of processes that lost power for seconds, and
/// the processes need as many again when they return. All processes together
/// therefore use half of the server's limit, except in short bursts. Where
/// there are more processes than connections, each uses one at a time, or a few
/// in a burst, and gives it back when it is idle.
class connection_share
{
public:
    connection_share(std::uint32_t limit, std::uint32_t processes) noexcept;

    /// Number of connections to hold, at least 1.
    [[nodiscard]] auto size() const noexcept -> std::size_t { return size_; }
    /// The same in a burst.
    [[nodiscard]] auto burst_size() const noexcept -> std::size_t;
    /// Whether there are more processes than connections, so that an idle one
    /// is missing elsewhere.
    [[nodiscard]] auto is_scarce() const noexcept -> bool { return is_scarce_; }

private:
    std::size_t size_;
    bool is_scarce_;
};

} // namespace rhubarbrun::inline v1

#endif
