#ifndef RHUBARBRUN_STATE_VERDICT_HPP
#define RHUBARBRUN_STATE_VERDICT_HPP

#include <cstdint>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Says whether a request may have run at a target.
enum class verdict : std::uint8_t
{
    /// It ran, and the target's own answer (result or error) is known.
    ran,
    /// No byte of it can have reached a target.
    not_run,
    /// It was sent, and the target's answer is not known.
    may_have_run,
};

/// Name of a verdict for logs and dumps.
[[nodiscard]] constexpr auto to_string(verdict value) noexcept
    -> std::string_view
{
    switch (value) {
    case verdict::ran:
        return "ran";
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    }
    return "unknown";
}

} // namespace rhubarbrun::inline v1

#endif
