#ifndef RHUBARBRUN_TRANSPORT_LINE_WRITER_HPP
#define RHUBARBRUN_TRANSPORT_LINE_WRITER_HPP

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Writes whole lines to a file descriptor without ever waiting for a reader.
///
/// Lines that a full pipe cannot take are dropped and counted, and the next one
/// that fits says how many. Functions may be called from any thread.
class line_writer
{
public:
    /// `descriptor` stays the caller's.
    explicit line_writer(int descriptor) noexcept : descriptor_(descriptor) {}

    /// Writes one line, cut off after 4,095 bytes; its end is added. Returns
    /// false if it was dropped.
    auto write(std::string_view line) -> bool;

    /// Lines dropped since the start.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    [[nodiscard]] auto put(std::string text) const -> bool;

    int descriptor_;
    mutable std::mutex mutex_;
    std::uint64_t dropped_ = 0;
    std::uint64_t told_ = 0;
};

} // namespace rhubarbrun::inline v1

#endif
