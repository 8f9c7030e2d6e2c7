#ifndef RHUBARBRUN_TRANSPORT_EVENT_LOG_HPP
#define RHUBARBRUN_TRANSPORT_EVENT_LOG_HPP

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Severity of a logged event.
enum class event_severity : std::uint8_t
{
    information,
    warning,
    error,
};

/// Where the event log goes.
enum class event_log_output : std::uint8_t
{
    standard_error,
    standard_output,
};

/// Sends the log there, without ever waiting for a reader, and ignores SIGPIPE;
/// call once, first in `main`.
auto start_event_log(const char* program,
                     event_log_output output = event_log_output::standard_error)
    -> void;

/// Lines that were dropped because their reader was too slow.
[[nodiscard]] auto dropped_log_lines() -> std::uint64_t;

/// One log line `event=<name> key=value ...`, written when it goes out of
/// scope. Values with spaces, quotes or control characters are quoted and
/// escaped. Never pass statement text or secrets.
///
/// @code
/// log_event("lease_lost").field("target", id).field("epoch", epoch);
/// @endcode
class log_event
{
public:
    explicit log_event(std::string_view name,
                       event_severity severity = event_severity::information);
    log_event(const log_event&) = delete;
    auto operator=(const log_event&) -> log_event& = delete;
    ~log_event();

    /// Appends ` key=value`; `value` is anything that prints to a stream.
    template <class Value>
    auto field(std::string_view key, const Value& value) -> log_event&
    {
        auto text = std::ostringstream{};
        text << value;
        append(key, text.str());
        return *this;
    }

private:
    auto append(std::string_view key, const std::string& value) -> void;

    std::string line_;
    event_severity severity_;
};

} // namespace rhubarbrun::inline v1

#endif
