#include <rhubarbrun/transport/line_writer.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace rhubarbrun::inline v1 {

namespace {

/// A pipe that is ready takes this many bytes at once (PIPE_BUF of Linux).
constexpr auto longest_write = std::size_t{4096};

} // namespace

auto line_writer::put(std::string text) const -> bool
{
    auto ready = pollfd{descriptor_, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        return false;
    }
    text.resize(std::min(text.size(), longest_write - 1));
    text += '\n';
    return ::write(descriptor_, text.data(), text.size()) ==
           static_cast<ssize_t>(text.size());
}

auto line_writer::write(std::string_view line) -> bool
{
    const auto lock = std::lock_guard(mutex_);
    if (told_ < dropped_ && put("event=log_lines_dropped lines=" +
                                std::to_string(dropped_ - told_)))
    {
        told_ = dropped_;
    }
    if (!put(std::string(line))) {
        ++dropped_;
        return false;
    }
    return true;
}

auto line_writer::dropped() const -> std::uint64_t
{
    const auto lock = std::lock_guard(mutex_);
    return dropped_;
}

} // namespace rhubarbrun::inline v1
