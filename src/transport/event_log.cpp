#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/line_writer.hpp>

#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <memory>

namespace rhubarbrun::inline v1 {

namespace {

auto needs_quotes(const std::string& value) -> bool
{
    return value.empty() ||
           std::any_of(value.begin(), value.end(), [](unsigned char letter) {
               return letter <= ' ' || letter == '"' || letter == '\\' ||
                      letter == '=' || letter == 0x7f;
           });
}

auto quote(const std::string& value) -> std::string
{
    auto out = std::ostringstream{};
    out << '"';
    for (const auto letter : value) {
        const auto byte = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            out << '\\' << letter;
        } else if (byte < ' ' || byte == 0x7f) {
            out << "\\x" << std::hex << std::setw(2) << std::setfill('0')
                << static_cast<int>(byte) << std::dec;
        } else {
            out << letter;
        }
    }
    out << '"';
    return out.str();
}

/// Passes glog's lines on without waiting for whoever reads them.
class unblocked_sink : public google::LogSink
{
public:
    explicit unblocked_sink(int descriptor) : writer_(descriptor) {}

    auto send(google::LogSeverity severity, const char* /*full_filename*/,
              const char* base_filename, int line,
              const google::LogMessageTime& at, const char* message,
              std::size_t length) -> void override
    {
        writer_.write(
            ToString(severity, base_filename, line, at, message, length));
    }

    [[nodiscard]] auto dropped() const -> std::uint64_t
    {
        return writer_.dropped();
    }

private:
    line_writer writer_;
};

/// Lives until the process ends, as threads may log until then.
auto sink() -> std::unique_ptr<unblocked_sink>&
{
    static auto instance = std::unique_ptr<unblocked_sink>();
    return instance;
}

} // namespace

auto start_event_log(const char* program, event_log_output output) -> void
{
    // A reader that went away must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    sink() = std::make_unique<unblocked_sink>(
        output == event_log_output::standard_output ? STDOUT_FILENO
                                                    : STDERR_FILENO);
    // The sink writes everything that glog would otherwise.
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    google::InitGoogleLogging(program);
}

auto dropped_log_lines() -> std::uint64_t
{
    return sink() ? sink()->dropped() : 0;
}

log_event::log_event(std::string_view name, event_severity severity)
    : line_("event="), severity_(severity)
{
    line_ += name;
}

log_event::~log_event()
{
    const auto severity =
        severity_ == event_severity::error     ? google::GLOG_ERROR
        : severity_ == event_severity::warning ? google::GLOG_WARNING
                                               : google::GLOG_INFO;
    if (sink()) {
        google::LogMessage(__FILE__, __LINE__, severity, sink().get(), false)
                .stream()
            << line_;
    } else {
        google::LogMessage(__FILE__, __LINE__, severity).stream() << line_;
    }
}

auto log_event::append(std::string_view key, const std::string& value) -> void
{
    line_ += ' ';
    line_ += key;
    line_ += '=';
    line_ += needs_quotes(value) ? quote(value) : value;
}

} // namespace rhubarbrun::inline v1
