#include <rhubarbrun/transport/settings.hpp>

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <system_error>
#include <utility>

ABSL_FLAG(std::string, name, "",
          "Name of this process, unique among the processes of its kind");
ABSL_FLAG(std::string, zone, "", "Availability zone of this VM");
ABSL_FLAG(std::string, peer_listen, "0.0.0.0:7401",
          "Where other rhubarbrun processes connect, by TCP and UDP");
ABSL_FLAG(std::string, advertised_address, "",
          "IP address that other processes use; that of peer_listen if empty");
ABSL_FLAG(std::string, http_listen, "0.0.0.0:7402",
          "Where operators, platform and targets connect by HTTP");
ABSL_FLAG(std::string, control_members, "",
          "All control members of the deployment");
ABSL_FLAG(std::string, deployment_key_file, "",
          "File with the key that all processes of the deployment share");
ABSL_FLAG(std::uint32_t, threads, 2, "Worker threads");

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto most_threads = 256;
constexpr auto longest_name = std::size_t{64};
constexpr auto shortest_key = std::size_t{32};
constexpr auto longest_key_file = std::size_t{64} * 1024;

auto variable_name(std::string_view setting) -> std::string
{
    auto result = std::string(environment_prefix);
    for (const auto letter : setting) {
        result += letter >= 'a' && letter <= 'z'
                      ? static_cast<char>(letter - 'a' + 'A')
                      : letter;
    }
    return result;
}

/// Collects the faults of one start.
class settings_reader
{
public:
    explicit settings_reader(const std::vector<setting>& settings)
    {
        for (const auto& each : settings) {
            known_[each.name] = &each;
            variables_[variable_name(each.name)] = &each;
        }
    }

    auto read_environment(const std::vector<std::string>& environment) -> void
    {
        for (const auto& line : environment) {
            const auto separator = line.find('=');
            const auto name = line.substr(0, separator);
            if (!line.starts_with(environment_prefix) ||
                separator == std::string::npos) {
                continue;
            }
            const auto found = variables_.find(name);
            if (found == variables_.end()) {
                outcome_.faults.push_back("environment variable " + name +
                                          " belongs to no setting");
                continue;
            }
            values_[found->second->name] = {line.substr(separator + 1), name};
        }
    }

    auto read_arguments(const std::vector<std::string>& arguments) -> void
    {
        for (auto index = std::size_t{0}; index < arguments.size(); ++index) {
            const auto& argument = arguments[index];
            if (argument == "--help" || argument == "-h") {
                outcome_.is_help_requested = true;
            } else if (argument == "--") {
                const auto rest = std::next(
                    arguments.begin(), static_cast<std::ptrdiff_t>(index) + 1);
                outcome_.words.insert(outcome_.words.end(), rest,
                                      arguments.end());
                return;
            } else if (!argument.starts_with("--")) {
                outcome_.words.push_back(argument);
            } else {
                read_flag(arguments, index);
            }
        }
    }

    auto finish() -> settings_outcome
    {
        for (const auto& [name, given] : values_) {
            set(name, given);
        }
        for (const auto& [name, rule] : known_) {
            check(*rule);
        }
        return std::move(outcome_);
    }

private:
    struct source
    {
        std::string value;
        /// Flag or variable that the value came from.
        std::string origin;
    };

    auto read_flag(const std::vector<std::string>& arguments,
                   std::size_t& index) -> void
    {
        const auto argument = arguments[index].substr(2);
        const auto separator = std::min(argument.find('='), argument.size());
        const auto name = argument.substr(0, separator);
        const auto origin = "flag --" + name;
        if (!known_.contains(name)) {
            outcome_.faults.push_back(origin + " does not exist");
            return;
        }
        if (separator < argument.size()) {
            values_[name] = {argument.substr(separator + 1), origin};
        } else if (find(name).IsOfType<bool>()) {
            values_[name] = {"true", origin};
        } else if (index + 1 < arguments.size()) {
            values_[name] = {arguments[++index], origin};
        } else {
            outcome_.faults.push_back(origin + " needs a value");
        }
    }

    static auto find(const std::string& name) -> absl::CommandLineFlag&
    {
        auto* const flag = absl::FindCommandLineFlag(name);
        if (flag == nullptr) {
            throw std::logic_error("no flag is defined for setting " + name);
        }
        return *flag;
    }

    auto set(const std::string& name, const source& given) -> void
    {
        auto reason = std::string();
        if (!find(name).ParseFrom(given.value, &reason)) {
            outcome_.faults.push_back(given.origin + ": must be " +
                                      known_.at(name)->unit);
            faulty_.insert(name);
        }
    }

    auto check(const setting& rule) -> void
    {
        if (!rule.check || faulty_.contains(rule.name)) {
            return;
        }
        const auto problem = rule.check(find(rule.name).CurrentValue());
        if (!problem.empty()) {
            const auto found = values_.find(rule.name);
            const auto origin = found == values_.end() ? "setting " + rule.name
                                                       : found->second.origin;
            outcome_.faults.push_back(origin + ": " + problem);
        }
    }

    settings_outcome outcome_;
    std::map<std::string, const setting*, std::less<>> known_;
    std::map<std::string, const setting*, std::less<>> variables_;
    std::map<std::string, source> values_;
    std::set<std::string> faulty_;
};

auto is_name_letter(char letter) -> bool
{
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
           letter == '.';
}

} // namespace

auto settings_input::of_process(int argument_count, char** arguments)
    -> settings_input
{
    auto input = settings_input{};
    for (auto index = 1; index < argument_count; ++index) {
        input.arguments.emplace_back(arguments[index]);
    }
    for (auto** line = environ; line != nullptr && *line != nullptr; ++line) {
        input.environment.emplace_back(*line);
    }
    return input;
}

auto read_settings(const std::vector<setting>& settings,
                   const settings_input& input) -> settings_outcome
{
    auto reader = settings_reader(settings);
    reader.read_environment(input.environment);
    reader.read_arguments(input.arguments);
    return reader.finish();
}

auto settings_help(std::string_view usage, const std::vector<setting>& settings)
    -> std::string
{
    auto out = std::ostringstream{};
    out << usage << "\n\nSettings (a flag overrides its environment variable):"
        << "\n";
    for (const auto& each : settings) {
        const auto* const flag = absl::FindCommandLineFlag(each.name);
        if (flag == nullptr) {
            continue;
        }
        const auto fallback = flag->DefaultValue();
        out << "  --" << each.name << "=<" << each.unit << ">  ("
            << (fallback.empty() ? "no default" : "default " + fallback) << ", "
            << variable_name(each.name) << ")\n      " << flag->Help() << "\n";
    }
    out << "  --help\n      Print this text\n";
    return out.str();
}

auto faults_message(const std::vector<std::string>& faults) -> std::string
{
    auto message = std::string("the settings have ") +
                   std::to_string(faults.size()) +
                   (faults.size() == 1 ? " fault:" : " faults:");
    for (const auto& fault : faults) {
        message += "\n  " + fault;
    }
    return message;
}

auto parse_endpoint(std::string_view text)
    -> std::optional<asio::ip::tcp::endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    const auto digits = text.substr(colon + 1);
    const auto is_bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (is_bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    auto port = std::uint16_t{0};
    const auto [end, fault] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (fault != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    auto error = error_code();
    const auto address = asio::ip::make_address(std::string(host), error);
    if (error || address.is_v6() != is_bracketed) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, port);
}

auto parse_control_members(std::string_view text)
    -> std::optional<std::vector<control_address>>
{
    auto members = std::vector<control_address>();
    while (true) {
        const auto comma = std::min(text.find(','), text.size());
        const auto part = text.substr(0, comma);
        const auto equals = part.find('=');
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        const auto name = std::string(part.substr(0, equals));
        const auto endpoint = parse_endpoint(part.substr(equals + 1));
        const auto is_known = std::any_of(members.begin(), members.end(),
                                          [&](const control_address& each) {
                                              return each.id.value() == name;
                                          });
        if (!setting_check::name(name).empty() || !endpoint ||
            endpoint->port() == 0 || is_known)
        {
            return std::nullopt;
        }
        members.push_back({member_id(name), *endpoint});
        if (comma == text.size()) {
            return members;
        }
        text.remove_prefix(comma + 1);
    }
}

namespace setting_check {

auto endpoint(const std::string& value) -> std::string
{
    return parse_endpoint(value) ? "" : "must be address:port";
}

auto optional_endpoint(const std::string& value) -> std::string
{
    return value.empty() ? "" : endpoint(value);
}

auto name(const std::string& value) -> std::string
{
    if (value.empty()) {
        return "is required";
    }
    if (value.size() > longest_name ||
        !std::all_of(value.begin(), value.end(), is_name_letter))
    {
        return "must have 1 to 64 letters, digits, '-', '_' or '.'";
    }
    return "";
}

auto control_members(const std::string& value) -> std::string
{
    if (value.empty()) {
        return "is required";
    }
    return parse_control_members(value)
               ? ""
               : "must be name=address:port,... with different names";
}

auto not_empty(const std::string& value) -> std::string
{
    return value.empty() ? "is required" : "";
}

auto between(std::int64_t lowest, std::int64_t highest)
    -> std::function<std::string(const std::string&)>
{
    return [lowest, highest](const std::string& value) -> std::string {
        auto number = std::int64_t{0};
        const auto* const last = value.data() + value.size();
        const auto [end, fault] = std::from_chars(value.data(), last, number);
        if (fault != std::errc() || end != last || number < lowest ||
            number > highest) {
            return "must be from " + std::to_string(lowest) + " to " +
                   std::to_string(highest);
        }
        return "";
    };
}

} // namespace setting_check

auto read_deployment_key(const std::string& path) -> secret_key
{
    struct stat status = {};
    if (::stat(path.c_str(), &status) != 0) {
        throw settings_error(
            "deployment key file " + path +
            " cannot be read: " + std::system_category().message(errno));
    }
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        throw settings_error("deployment key file " + path +
                             " must be accessible by its owner only");
    }
    auto file = std::ifstream(path, std::ios::binary);
    auto key = std::string(longest_key_file + 1, '\0');
    file.read(key.data(), static_cast<std::streamsize>(key.size()));
    key.resize(static_cast<std::size_t>(file.gcount()));
    if (!file.eof()) {
        throw settings_error("deployment key file " + path +
                             " cannot be read, or exceeds 64 KiB");
    }
    const auto end = key.find_last_not_of(" \t\r\n");
    key.resize(end == std::string::npos ? 0 : end + 1);
    if (key.size() < shortest_key) {
        throw settings_error("deployment key file " + path +
                             " holds fewer than 32 bytes");
    }
    return secret_key::from_material(key);
}

auto shared_settings() -> std::vector<setting>
{
    const auto address_check = [](const std::string& value) -> std::string {
        auto error = error_code();
        (void)asio::ip::make_address(value, error);
        return value.empty() || !error ? "" : "must be an IP address";
    };
    return {
        {"name", "name", setting_check::name},
        {"zone", "name", setting_check::name},
        {"peer_listen", "address:port", setting_check::endpoint},
        {"advertised_address", "address", address_check},
        {"http_listen", "address:port", setting_check::endpoint},
        {"control_members", "name=address:port,...",
         setting_check::control_members},
        {"deployment_key_file", "path", setting_check::not_empty},
        {"threads", "count", setting_check::between(1, most_threads)},
    };
}

auto shared_values() -> process_settings
{
    auto values = process_settings{};
    values.name = absl::GetFlag(FLAGS_name);
    values.zone = zone_id(absl::GetFlag(FLAGS_zone));
    values.peer_listen =
        parse_endpoint(absl::GetFlag(FLAGS_peer_listen)).value();
    const auto advertised = absl::GetFlag(FLAGS_advertised_address);
    values.advertised_address = advertised.empty()
                                    ? values.peer_listen.address()
                                    : asio::ip::make_address(advertised);
    values.http_listen =
        parse_endpoint(absl::GetFlag(FLAGS_http_listen)).value();
    values.control_members =
        parse_control_members(absl::GetFlag(FLAGS_control_members)).value();
    values.deployment_key_file = absl::GetFlag(FLAGS_deployment_key_file);
    values.threads = absl::GetFlag(FLAGS_threads);
    return values;
}

} // namespace rhubarbrun::inline v1
