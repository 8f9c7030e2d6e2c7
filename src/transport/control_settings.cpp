#include <rhubarbrun/transport/control_settings.hpp>

#include <absl/flags/flag.h>
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

ABSL_FLAG(std::string, data_directory, "",
          "Directory of the consensus log; created if it does not exist");
ABSL_FLAG(std::string, operators_file, "",
          "TOML file with the first operators; read while the group has none");
ABSL_FLAG(bool, found_group, false,
          "Take part in founding a new group if the data directory is empty");
ABSL_FLAG(std::uint32_t, snapshot_entries, 10'000,
          "Applied log entries after which a snapshot is saved");

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto most_snapshot_entries = 10'000'000;
constexpr auto hash_digits = std::size_t{64};

auto fault_at(const toml::source_region& source, const std::string& problem)
    -> settings_error
{
    auto out = std::ostringstream{};
    out << "operators file: " << source.begin.line << ':' << source.begin.column
        << ": " << problem;
    return settings_error(out.str());
}

auto read_operator(const toml::node& node) -> operator_entry
{
    const auto* const table = node.as_table();
    if (table == nullptr) {
        throw fault_at(node.source(), "an operator must be a table");
    }
    const auto name = (*table)["id"].value_or(std::string());
    const auto hash = (*table)["token_sha256"].value_or(std::string());
    if (!setting_check::name(name).empty()) {
        throw fault_at(node.source(), "id must be a name");
    }
    if (hash.size() != hash_digits ||
        hash.find_first_not_of("0123456789abcdef") != std::string::npos)
    {
        throw fault_at(node.source(),
                       "token_sha256 must be 64 lower-case hexadecimal digits");
    }
    return {operator_id(name), token_hash(hash)};
}

} // namespace

auto control_settings_list() -> std::vector<setting>
{
    auto settings = shared_settings();
    settings.push_back({"data_directory", "path", setting_check::not_empty});
    settings.push_back({"operators_file", "path", {}});
    settings.push_back({"found_group", "true or false", {}});
    settings.push_back({"snapshot_entries", "entries",
                        setting_check::between(1, most_snapshot_entries)});
    return settings;
}

auto control_settings_values() -> control_settings
{
    auto values = control_settings{};
    values.process = shared_values();
    values.data_directory = absl::GetFlag(FLAGS_data_directory);
    values.operators_file = absl::GetFlag(FLAGS_operators_file);
    values.is_founding = absl::GetFlag(FLAGS_found_group);
    values.snapshot_entries = absl::GetFlag(FLAGS_snapshot_entries);
    return values;
}

auto control_options(const control_settings& settings) -> control_node_options
{
    const auto& process = settings.process;
    auto options =
        control_node_options{member_id(process.name),
                             settings.data_directory,
                             read_deployment_key(process.deployment_key_file),
                             process.peer_listen,
                             process.http_listen,
                             {},
                             settings.snapshot_entries,
                             {},
                             {},
                             {},
                             {},
                             system_file_hooks()};
    for (const auto& member : process.control_members) {
        options.consensus.members.push_back(member.id);
    }
    const auto& all = options.consensus.members;
    if (std::find(all.begin(), all.end(), options.name) == all.end()) {
        throw settings_error("control_members must hold the name of this "
                             "member, " +
                             process.name);
    }
    options.consensus.is_founding = settings.is_founding;
    if (!settings.operators_file.empty()) {
        auto file = std::ifstream(settings.operators_file);
        if (!file) {
            throw settings_error("operators file " + settings.operators_file +
                                 " cannot be read");
        }
        options.first_operators = parse_first_operators(
            std::string(std::istreambuf_iterator<char>(file), {}));
    }
    return options;
}

auto parse_first_operators(std::string_view text) -> std::vector<operator_entry>
{
    auto root = toml::table();
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error& fault) {
        throw fault_at(fault.source(), std::string(fault.description()));
    }
    auto operators = std::vector<operator_entry>();
    auto names = std::set<operator_id>();
    const auto* const list = root["operators"].as_array();
    if (list == nullptr || root.size() != 1 ||
        list->size() < bundle_limits::fewest_operators)
    {
        throw settings_error("the operators file must hold at least two "
                             "[[operators]] and nothing else");
    }
    for (const auto& node : *list) {
        auto entry = read_operator(node);
        if (!names.insert(entry.id).second) {
            throw fault_at(node.source(), "the id is used twice");
        }
        operators.push_back(std::move(entry));
    }
    return operators;
}

} // namespace rhubarbrun::inline v1
