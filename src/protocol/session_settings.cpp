#include <rhubarbrun/protocol/session_settings.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto own_prefix = std::string_view("rhubarbrun.");
constexpr auto read_only_name =
    std::string_view("default_transaction_read_only");
/// Longest request key; keeps the index of the key table small.
constexpr auto max_key_length = std::size_t{200};
/// One day; longer deadlines and ages are mistakes.
constexpr auto max_milliseconds = std::int64_t{86'400'000};

auto to_lower(std::string_view text) -> std::string
{
    auto lower = std::string(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) {
                       return static_cast<char>(std::tolower(letter));
                   });
    return lower;
}

auto parse_milliseconds(std::string_view text) -> std::optional<duration>
{
    auto value = std::int64_t{0};
    const auto* end = text.data() + text.size();
    const auto [parsed, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc{} || parsed != end || value < 0 ||
        value > max_milliseconds)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

auto parse_switch(std::string_view text) -> std::optional<bool>
{
    const auto lower = to_lower(text);
    for (const auto word : {"on", "true", "yes", "1"}) {
        if (lower == word) {
            return true;
        }
    }
    for (const auto word : {"off", "false", "no", "0"}) {
        if (lower == word) {
            return false;
        }
    }
    return std::nullopt;
}

/// Returns whether `text` names a class or is empty.
auto parse_class(std::string_view text, std::optional<work_class>& result)
    -> bool
{
    const auto lower = to_lower(text);
    if (lower.empty()) {
        result.reset();
    } else if (lower == "short") {
        result = work_class::lookup;
    } else if (lower == "long") {
        result = work_class::report;
    } else {
        return false;
    }
    return true;
}

auto is_valid_key(std::string_view key) -> bool
{
    return key.size() <= max_key_length &&
           std::all_of(key.begin(), key.end(), [](unsigned char letter) {
               return letter > ' ' && letter < 0x7f;
           });
}

template <class Value>
auto assign(Value& target, const std::optional<Value>& value) -> bool
{
    if (value) {
        target = *value;
    }
    return value.has_value();
}

auto not_valid(std::string_view name, std::string_view expected) -> std::string
{
    return std::string(name) + " must be " + std::string(expected);
}

auto set_value(setting_values& values, std::string_view name,
               std::string_view text) -> std::optional<std::string>
{
    constexpr auto time_range = "whole milliseconds from 0 to 86400000";
    if (name == "rhubarbrun.max_age_ms") {
        return assign(values.max_age, parse_milliseconds(text))
                   ? std::nullopt
                   : std::optional(not_valid(name, time_range));
    }
    if (name == "rhubarbrun.deadline_ms") {
        return assign(values.deadline, parse_milliseconds(text))
                   ? std::nullopt
                   : std::optional(not_valid(name, time_range));
    }
    if (name == "rhubarbrun.class") {
        return parse_class(text, values.hinted_class)
                   ? std::nullopt
                   : std::optional(not_valid(name, "short, long or empty"));
    }
    if (name == "rhubarbrun.idempotent") {
        return assign(values.is_idempotent, parse_switch(text))
                   ? std::nullopt
                   : std::optional(not_valid(name, "on or off"));
    }
    if (name == read_only_name) {
        return assign(values.is_read_only, parse_switch(text))
                   ? std::nullopt
                   : std::optional(not_valid(name, "on or off"));
    }
    if (name == "rhubarbrun.request_key") {
        if (!is_valid_key(text)) {
            return not_valid(
                name, "at most 200 printable ASCII characters without spaces");
        }
        values.key = request_key(std::string(text));
        return std::nullopt;
    }
    return "setting " + std::string(name) + " does not exist";
}

auto reset_value(setting_values& values, const setting_values& start,
                 std::string_view name) -> std::optional<std::string>
{
    if (name == "rhubarbrun.max_age_ms") {
        values.max_age = start.max_age;
    } else if (name == "rhubarbrun.deadline_ms") {
        values.deadline = start.deadline;
    } else if (name == "rhubarbrun.class") {
        values.hinted_class = start.hinted_class;
    } else if (name == "rhubarbrun.idempotent") {
        values.is_idempotent = start.is_idempotent;
    } else if (name == read_only_name) {
        values.is_read_only = start.is_read_only;
    } else if (name == "rhubarbrun.request_key") {
        values.key = start.key;
    } else {
        return "setting " + std::string(name) + " does not exist";
    }
    return std::nullopt;
}

auto change(setting_values& values, const setting_values& start,
            std::string_view name, const std::optional<std::string>& value)
    -> std::optional<std::string>
{
    return value ? set_value(values, name, *value)
                 : reset_value(values, start, name);
}

auto switch_text(bool value) -> std::string
{
    return value ? "on" : "off";
}

} // namespace

auto session_settings::is_own(std::string_view name) -> bool
{
    return name.substr(0, own_prefix.size()) == own_prefix ||
           name == read_only_name;
}

auto session_settings::set(std::string_view name,
                           const std::optional<std::string>& value,
                           bool is_local) -> std::optional<std::string>
{
    if (is_local) {
        auto changed = values();
        auto fault = change(changed, at_start_, name, value);
        if (!fault) {
            local_ = changed;
        }
        return fault;
    }
    auto fault = change(session_, at_start_, name, value);
    if (!fault && local_) {
        fault = change(*local_, at_start_, name, value);
    }
    return fault;
}

auto session_settings::show(std::string_view name) const
    -> std::optional<std::string>
{
    const auto& now = values();
    if (name == "rhubarbrun.max_age_ms") {
        return std::to_string(to_milliseconds(now.max_age));
    }
    if (name == "rhubarbrun.deadline_ms") {
        return std::to_string(to_milliseconds(now.deadline));
    }
    if (name == "rhubarbrun.class") {
        if (!now.hinted_class) {
            return "";
        }
        return *now.hinted_class == work_class::report ? "long" : "short";
    }
    if (name == "rhubarbrun.idempotent") {
        return switch_text(now.is_idempotent);
    }
    if (name == read_only_name) {
        return switch_text(now.is_read_only);
    }
    if (name == "rhubarbrun.request_key") {
        return now.key.value();
    }
    return std::nullopt;
}

auto session_settings::reset_all() -> void
{
    session_ = at_start_;
    local_.reset();
}

auto session_settings::use_key() -> request_key
{
    auto key = values().key;
    session_.key = {};
    if (local_) {
        local_->key = {};
    }
    // A key given at startup also names one request only.
    at_start_.key = {};
    return key;
}

auto parse_startup_options(std::string_view options)
    -> std::optional<std::vector<std::pair<std::string, std::string>>>
{
    auto words = std::vector<std::string>{};
    auto is_in_word = false;
    for (auto index = std::size_t{0}; index < options.size(); ++index) {
        auto letter = options[index];
        if (letter == ' ' || letter == '\t' || letter == '\n') {
            is_in_word = false;
            continue;
        }
        if (letter == '\\' && index + 1 < options.size()) {
            letter = options[++index];
        }
        if (!is_in_word) {
            words.emplace_back();
            is_in_word = true;
        }
        words.back().push_back(letter);
    }
    auto pairs = std::vector<std::pair<std::string, std::string>>{};
    for (auto index = std::size_t{0}; index < words.size(); ++index) {
        auto word = words[index];
        if (word == "-c" && index + 1 < words.size()) {
            word = words[++index];
        } else if (word.starts_with("-c") || word.starts_with("--")) {
            word.erase(0, 2);
        } else {
            return std::nullopt;
        }
        const auto equals = word.find('=');
        if (equals == std::string::npos || equals == 0) {
            return std::nullopt;
        }
        auto name = to_lower(std::string_view(word).substr(0, equals));
        std::replace(name.begin(), name.end(), '-', '_');
        pairs.emplace_back(std::move(name), word.substr(equals + 1));
    }
    return pairs;
}

auto is_target_setting(std::string_view name, std::string_view value) -> bool
{
    // Harmless for other sessions on the same connection, as they change
    // neither results nor what is kept.
    constexpr auto ignored = std::array<std::string_view, 3>{
        "application_name", "client_min_messages", "tcp_user_timeout"};
    const auto lower = to_lower(value);
    if (std::find(ignored.begin(), ignored.end(), name) != ignored.end()) {
        return true;
    }
    if (name == "extra_float_digits") {
        // All positive values print the shortest exact text.
        return lower == "1" || lower == "2" || lower == "3";
    }
    if (name == "client_encoding" || name == "names") {
        return lower == "utf8" || lower == "utf-8" || lower == "unicode";
    }
    if (name == "standard_conforming_strings") {
        return parse_switch(value).value_or(false);
    }
    if (name == "datestyle") {
        return lower == "iso" || lower == "iso, mdy" || lower == "iso,mdy";
    }
    if (name == "intervalstyle") {
        return lower == "postgres";
    }
    if (name == "bytea_output") {
        return lower == "hex";
    }
    if (name == "timezone" || name == "time zone") {
        return lower == "utc" || lower == "etc/utc" || lower == "gmt";
    }
    if (name == "transaction_isolation" ||
        name == "default_transaction_isolation") {
        return lower == "read committed";
    }
    if (name == "synchronous_commit") {
        return parse_switch(value).value_or(false);
    }
    if (name == "statement_timeout" || name == "lock_timeout" ||
        name == "idle_in_transaction_session_timeout")
    {
        return lower == "0";
    }
    return false;
}

} // namespace rhubarbrun::inline v1
