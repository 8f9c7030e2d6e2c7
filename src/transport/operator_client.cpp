#include <rhubarbrun/transport/operator_client.hpp>

#include <rhubarbrun/state/bundle_parse.hpp>
#include <rhubarbrun/transport/json.hpp>

#include <absl/flags/flag.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

ABSL_FLAG(std::string, control, "",
          "HTTP addresses of control members, tried in turn");
ABSL_FLAG(std::string, token_file, "", "File with the operator's token");
ABSL_FLAG(std::string, token, "",
          "The operator's token; give it by its variable, because other users "
          "of the machine can read flags");
ABSL_FLAG(std::string, output, "text", "Form of the output");
ABSL_FLAG(std::uint32_t, timeout_ms, 10'000,
          "Longest wait for one control member");

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto usage_text =
    "rhubarbctl: propose, approve and roll bundles\n"
    "\n"
    "Usage: rhubarbctl [settings] <command>\n"
    "  propose <file>               propose the bundle in a TOML file\n"
    "  approve <version> <digest>   approve a colleague's proposal\n"
    "  roll <version> <digest>      put an approved bundle in force\n"
    "  status                       version in force, for each VM\n"
    "  log                          history of the bundles\n"
    "  diff <bundle> <bundle>       lines that differ; a bundle is a version\n"
    "                               or a file\n"
    "  dump                         state of the first member that answers\n"
    "\n"
    "Exit codes: 0 done; 1 refused by the rules; 2 wrong usage, settings or\n"
    "bundle; 3 no control member answered, give the command again; 4 the\n"
    "token belongs to no operator; 5 diff found differences.\n"
    "Every command may be given again: it has its effect once.";

constexpr auto longest_timeout_ms = 600'000;

auto parse_control_list(const std::string& text)
    -> std::optional<std::vector<asio::ip::tcp::endpoint>>
{
    auto result = std::vector<asio::ip::tcp::endpoint>();
    auto in = std::istringstream(text);
    for (auto part = std::string(); std::getline(in, part, ',');) {
        const auto endpoint = parse_endpoint(part);
        if (!endpoint) {
            return std::nullopt;
        }
        result.push_back(*endpoint);
    }
    return result.empty() ? std::nullopt : std::optional(std::move(result));
}

auto client_settings() -> std::vector<setting>
{
    return {
        {"control", "address:port,...",
         [](const std::string& value) -> std::string {
             return parse_control_list(value) ? "" : "must be address:port,...";
         }},
        {"token_file", "path", {}},
        {"token", "text", {}},
        {"output", "text or json",
         [](const std::string& value) -> std::string {
             return value == "text" || value == "json" ? ""
                                                       : "must be text or json";
         }},
        {"timeout_ms", "ms", setting_check::between(1, longest_timeout_ms)},
    };
}

auto read_file(const std::string& path) -> std::string
{
    auto file = std::ifstream(path, std::ios::binary);
    if (!file) {
        throw settings_error("file " + path + " cannot be read");
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

auto read_token() -> std::string
{
    const auto path = absl::GetFlag(FLAGS_token_file);
    auto token = path.empty() ? absl::GetFlag(FLAGS_token) : read_file(path);
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) {
        token.pop_back();
    }
    // A line break would end the header that carries the token.
    if (token.find_first_of("\r\n") != std::string::npos) {
        throw settings_error("the token must be one line");
    }
    return token;
}

auto is_version(const std::string& text) -> bool
{
    auto number = std::uint64_t{0};
    const auto* const last = text.data() + text.size();
    const auto [end, fault] = std::from_chars(text.data(), last, number);
    return fault == std::errc() && end == last && number > 0;
}

auto lines_of(const std::string& text) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>();
    auto in = std::istringstream(text);
    for (auto line = std::string(); std::getline(in, line);) {
        lines.push_back(line);
    }
    return lines;
}

/// Lines of both texts in order, marked '-' and '+' where only one has them.
///
/// Finds a longest common subsequence, after equal lines at both ends are set
/// aside, because its table grows with the product of the lengths.
auto diff_lines(const std::vector<std::string>& left,
                const std::vector<std::string>& right)
    -> std::vector<std::pair<char, std::string>>
{
    auto begin = std::size_t{0};
    auto left_end = left.size();
    auto right_end = right.size();
    while (begin < left_end && begin < right_end && left[begin] == right[begin])
    {
        ++begin;
    }
    while (left_end > begin && right_end > begin &&
           left[left_end - 1] == right[right_end - 1])
    {
        --left_end;
        --right_end;
    }
    const auto rows = left_end - begin;
    const auto columns = right_end - begin;
    auto common = std::vector<std::vector<std::uint32_t>>(
        rows + 1, std::vector<std::uint32_t>(columns + 1));
    for (auto row = rows; row-- > 0;) {
        for (auto column = columns; column-- > 0;) {
            common[row][column] = left[begin + row] == right[begin + column]
                                      ? common[row + 1][column + 1] + 1
                                      : std::max(common[row + 1][column],
                                                 common[row][column + 1]);
        }
    }
    auto result = std::vector<std::pair<char, std::string>>();
    auto row = std::size_t{0};
    auto column = std::size_t{0};
    while (row < rows || column < columns) {
        if (row < rows && column < columns &&
            left[begin + row] == right[begin + column])
        {
            ++row;
            ++column;
        } else if (column == columns ||
                   (row < rows &&
                    common[row + 1][column] >= common[row][column + 1]))
        {
            result.emplace_back('-', left[begin + row++]);
        } else {
            result.emplace_back('+', right[begin + column++]);
        }
    }
    return result;
}

/// One run of the client.
class client
{
public:
    explicit client(const operator_client_hooks& hooks)
        : hooks_(hooks),
          members_(*parse_control_list(absl::GetFlag(FLAGS_control))),
          is_json_(absl::GetFlag(FLAGS_output) == "json"),
          token_(read_token())
    {
    }

    auto run(const std::vector<std::string>& words) -> operator_exit
    {
        const auto& command = words.front();
        if (command == "propose" && words.size() == 2) {
            return propose(words[1]);
        }
        if ((command == "approve" || command == "roll") && words.size() == 3 &&
            is_version(words[1]))
        {
            return act(command, words[1], words[2]);
        }
        if (command == "diff" && words.size() == 3) {
            return diff(words[1], words[2]);
        }
        if (words.size() == 1 &&
            (command == "status" || command == "log" || command == "dump"))
        {
            return show(command);
        }
        hooks_.errors << usage_text << '\n';
        return operator_exit::usage;
    }

private:
    auto propose(const std::string& path) -> operator_exit
    {
        const auto text = read_file(path);
        const auto parsed = parse_bundle(text);
        if (!parsed) {
            for (const auto& problem : parsed.problems) {
                hooks_.errors << path << ':' << to_string(problem) << '\n';
            }
            return operator_exit::usage;
        }
        const auto digest = digest_of(*parsed.value).value();
        return command("/v1/bundles", json_value::object{{"digest", digest},
                                                         {"bundle", text}});
    }

    auto act(const std::string& verb, const std::string& version,
             const std::string& digest) -> operator_exit
    {
        return command("/v1/bundles/" + version + '/' + verb,
                       json_value::object{{"digest", digest}});
    }

    auto command(const std::string& path, const json_value& body)
        -> operator_exit
    {
        if (token_.empty()) {
            throw settings_error("token_file or the variable "
                                 "RHUBARBRUN_TOKEN is required");
        }
        const auto response = request("POST", path, body.print());
        if (!response) {
            return operator_exit::unavailable;
        }
        const auto fields = parse_json(response->body).value_or(json_value());
        if (is_json_) {
            hooks_.out << response->body;
        } else if (response->status == 200) {
            hooks_.out << "version " << fields["version"].number()
                       << "\ndigest " << fields["digest"].text()
                       << "\nproposer " << fields["proposer"].text()
                       << "\nindex " << fields["index"].number() << '\n';
        } else {
            print_error(fields);
        }
        return exit_of(response->status);
    }

    auto print_error(const json_value& fields) -> void
    {
        hooks_.errors << fields["error"].text() << '\n';
        if (!fields["digest"].text().empty()) {
            hooks_.errors << "version " << fields["version"].number()
                          << " holds digest " << fields["digest"].text()
                          << ", proposed by " << fields["proposer"].text()
                          << '\n';
        }
        if (!fields["actor"].text().empty()) {
            hooks_.errors << "done by " << fields["actor"].text() << '\n';
        }
        for (const auto& detail : fields["details"].elements()) {
            hooks_.errors << detail.text() << '\n';
        }
    }

    auto show(const std::string& what) -> operator_exit
    {
        const auto response = request("GET", "/v1/" + what, {});
        if (!response) {
            return operator_exit::unavailable;
        }
        const auto fields = parse_json(response->body).value_or(json_value());
        if (response->status != 200) {
            print_error(fields);
        } else if (is_json_ || what == "dump") {
            hooks_.out << response->body;
        } else if (what == "status") {
            print_status(fields);
        } else {
            print_log(fields);
        }
        return exit_of(response->status);
    }

    auto print_status(const json_value& fields) -> void
    {
        hooks_.out << "version " << fields["version"].number() << "\ndigest "
                   << fields["digest"].text() << "\nleader "
                   << fields["member"]["leader"].text() << '\n';
        for (const auto& vm : fields["vms"].elements()) {
            hooks_.out << "vm " << vm["name"].text() << " zone "
                       << vm["zone"].text() << " version "
                       << vm["version"].number() << " live "
                       << vm["is_live"].print() << " draining "
                       << vm["is_draining"].print() << '\n';
        }
    }

    auto print_log(const json_value& fields) -> void
    {
        for (const auto& record : fields["bundles"].elements()) {
            hooks_.out << record["version"].number() << ' '
                       << record["stage"].text() << " digest "
                       << record["digest"].text();
            for (const auto* const actor : {"proposer", "approver", "roller"}) {
                if (!record[actor].text().empty()) {
                    hooks_.out << ' ' << actor << ' ' << record[actor].text();
                }
            }
            hooks_.out << '\n';
        }
    }

    auto diff(const std::string& left, const std::string& right)
        -> operator_exit
    {
        auto texts = std::vector<std::string>();
        for (const auto& name : {left, right}) {
            auto code = operator_exit::done;
            const auto text = canonical(name, code);
            if (!text) {
                return code;
            }
            texts.push_back(*text);
        }
        const auto changes = diff_lines(lines_of(texts[0]), lines_of(texts[1]));
        auto list = json_value::array();
        for (const auto& [mark, line] : changes) {
            if (is_json_) {
                list.emplace_back(std::string(1, mark) + line);
            } else {
                hooks_.out << mark << line << '\n';
            }
        }
        if (is_json_) {
            hooks_.out << json_value(
                              json_value::object{{"changes", std::move(list)}})
                              .print()
                       << '\n';
        }
        return changes.empty() ? operator_exit::done : operator_exit::different;
    }

    /// Canonical text of a version or a file.
    auto canonical(const std::string& name, operator_exit& code)
        -> std::optional<std::string>
    {
        if (!is_version(name)) {
            const auto parsed = parse_bundle(read_file(name));
            if (parsed) {
                return canonical_text(*parsed.value);
            }
            for (const auto& problem : parsed.problems) {
                hooks_.errors << name << ':' << to_string(problem) << '\n';
            }
            code = operator_exit::usage;
            return std::nullopt;
        }
        const auto response = request("GET", "/v1/bundles/" + name, {});
        if (!response) {
            code = operator_exit::unavailable;
            return std::nullopt;
        }
        const auto fields = parse_json(response->body).value_or(json_value());
        if (response->status != 200) {
            print_error(fields);
            code = exit_of(response->status);
            return std::nullopt;
        }
        return fields["bundle"].text();
    }

    /// Asks the members in turn until one answers with other than 5xx.
    auto request(const std::string& method, const std::string& path,
                 const std::string& body) -> std::optional<http_response>
    {
        auto message = http_request{};
        message.method = method;
        message.path = path;
        message.body = body;
        if (!token_.empty()) {
            message.headers["authorization"] = "Bearer " + token_;
        }
        for (const auto& member : members_) {
            const auto result = send(member, message);
            if (result.response && result.response->status < 500) {
                return result.response;
            }
            hooks_.errors << member << ": "
                          << (result.response
                                  ? parse_json(result.response->body)
                                        .value_or(json_value())["error"]
                                        .text()
                                  : result.error)
                          << '\n';
        }
        return std::nullopt;
    }

    auto send(const asio::ip::tcp::endpoint& member,
              const http_request& message) -> http_result
    {
        if (hooks_.send) {
            return hooks_.send(member, message);
        }
        auto limits = http_client_limits{};
        limits.total =
            std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
        return http_send_and_wait(member, message, limits);
    }

    static auto exit_of(unsigned status) -> operator_exit
    {
        switch (status) {
        case 200:
            return operator_exit::done;
        case 400:
            return operator_exit::usage;
        case 401:
            return operator_exit::unauthorized;
        default:
            return operator_exit::refused;
        }
    }

    const operator_client_hooks& hooks_;
    std::vector<asio::ip::tcp::endpoint> members_;
    bool is_json_;
    std::string token_;
};

} // namespace

auto run_operator_client(const settings_input& input,
                         const operator_client_hooks& hooks) -> int
{
    const auto settings = client_settings();
    const auto outcome = read_settings(settings, input);
    if (outcome.is_help_requested) {
        hooks.out << settings_help(usage_text, settings);
        return static_cast<int>(operator_exit::done);
    }
    if (!outcome.faults.empty()) {
        hooks.errors << faults_message(outcome.faults) << '\n';
        return static_cast<int>(operator_exit::usage);
    }
    if (outcome.words.empty()) {
        hooks.errors << usage_text << '\n';
        return static_cast<int>(operator_exit::usage);
    }
    try {
        return static_cast<int>(client(hooks).run(outcome.words));
    } catch (const settings_error& fault) {
        hooks.errors << fault.what() << '\n';
        return static_cast<int>(operator_exit::usage);
    }
}

} // namespace rhubarbrun::inline v1
