#include <rhubarbrun/transport/event_log.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <iomanip>

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

} // namespace

auto start_event_log(const char* program, event_log_output output) -> void
{
    if (output == event_log_output::standard_output) {
        // Otherwise a killed process takes its last lines with it.
        std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
        FLAGS_logtostdout = true;
    } else {
        FLAGS_logtostderr = true;
    }
    google::InitGoogleLogging(program);
}

log_event::log_event(std::string_view name, event_severity severity)
    : line_("event="), severity_(severity)
{
    line_ += name;
}

log_event::~log_event()
{
    switch (severity_) {
    case event_severity::information:
        LOG(INFO) << line_;
        break;
    case event_severity::warning:
        LOG(WARNING) << line_;
        break;
    case event_severity::error:
        LOG(ERROR) << line_;
        break;
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
