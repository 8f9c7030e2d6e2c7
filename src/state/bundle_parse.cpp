#include "bundle_fields.hpp"

#include <rhubarbrun/state/bundle_parse.hpp>

#include <toml++/toml.h>

#include <algorithm>
#include <map>
#include <set>

namespace rhubarbrun::inline v1 {

namespace {

auto to_position(const toml::source_region& region) -> source_position
{
    return {region.begin.line, region.begin.column};
}

/// Reads the tables of a bundle and remembers where each value stands.
class reader
{
public:
    auto run(const toml::table& root) -> bundle_parse_result
    {
        auto value = bundle{};
        read_root(root, value);
        add_faults(value);
        std::stable_sort(problems_.begin(), problems_.end(),
                         [](const auto& left, const auto& right) {
                             return left.where < right.where;
                         });
        auto result = bundle_parse_result{std::nullopt, std::move(problems_)};
        if (result.problems.empty()) {
            result.value = std::move(value);
        }
        return result;
    }

private:
    using key_names = std::set<std::string_view>;

    auto read_root(const toml::table& root, bundle& value) -> void
    {
        auto known = key_names{"version", "timings", "operators", "groups"};
        refuse_unknown(root, known);
        auto version = std::int64_t{0};
        require(root, "", "version");
        read_number(root, "", "version", version);
        // A negative number must not turn into a huge version.
        value.version = bundle_version(
            static_cast<std::uint64_t>(std::max<std::int64_t>(version, 0)));
        if (const auto* const timings = find_table(root, "", "timings")) {
            known.clear();
            read_fields(*timings, "timings.", detail::timing_fields,
                        value.timings, known);
            refuse_unknown(*timings, known);
        }
        read_each(root, "operators",
                  [&](const toml::table& table, const std::string& path) {
                      read_operator(table, path, value);
                  });
        read_each(root, "groups",
                  [&](const toml::table& table, const std::string& path) {
                      read_group(table, path, value);
                  });
    }

    auto read_operator(const toml::table& table, const std::string& path,
                       bundle& value) -> void
    {
        refuse_unknown(table, {"id", "token_sha256"});
        auto name = std::string();
        auto hash = std::string();
        require(table, path, "id");
        require(table, path, "token_sha256");
        read_text(table, path, "id", name);
        read_text(table, path, "token_sha256", hash);
        value.operators.push_back(
            {operator_id(std::move(name)), token_hash(std::move(hash))});
    }

    auto read_group(const toml::table& table, const std::string& path,
                    bundle& value) -> void
    {
        auto& group = value.groups.emplace_back();
        auto known =
            key_names{"id", "database", "acknowledge", "reads", "limits"};
        auto name = std::string();
        require(table, path, "id");
        require(table, path, "database");
        read_text(table, path, "id", name);
        group.id = group_id(std::move(name));
        read_text(table, path, "database", group.database);
        read_acknowledge(table, path, group);
        read_fields(table, path, detail::group_fields, group, known);
        refuse_unknown(table, known);
        if (const auto* const reads = find_table(table, path, "reads")) {
            known.clear();
            read_fields(*reads, path + "reads.", detail::read_fields,
                        group.reads, known);
            refuse_unknown(*reads, known);
        }
        if (const auto* const limits = find_table(table, path, "limits")) {
            known.clear();
            read_fields(*limits, path + "limits.", detail::limit_fields,
                        group.limits, known);
            refuse_unknown(*limits, known);
        }
    }

    auto read_acknowledge(const toml::table& table, const std::string& path,
                          group_config& group) -> void
    {
        auto mode = std::string(to_string(group.acknowledge));
        read_text(table, path, "acknowledge", mode);
        for (const auto known :
             {acknowledge_mode::primary, acknowledge_mode::second_server})
        {
            if (mode == to_string(known)) {
                group.acknowledge = known;
                return;
            }
        }
        add(path + "acknowledge", "the mode must be \"second_server\" or "
                                  "\"primary\"");
    }

    template <class Fields, class Table>
    auto read_fields(const toml::table& table, const std::string& path,
                     const Fields& fields, Table& value, key_names& known)
        -> void
    {
        for (const auto& field : fields) {
            known.insert(field.name);
            read_number(table, path, field.name, value.*field.member);
        }
    }

    template <class Visitor>
    auto read_each(const toml::table& root, std::string_view key,
                   const Visitor& visit) -> void
    {
        const auto* const node = find(root, "", key);
        if (node == nullptr) {
            return;
        }
        const auto* const entries = node->as_array();
        if (entries == nullptr) {
            add(std::string(key), "'" + std::string(key) +
                                      "' must be an array of tables, as in [[" +
                                      std::string(key) + "]]");
            return;
        }
        for (auto i = std::size_t{0}; i < entries->size(); ++i) {
            const auto path = std::string(key) + "[" + std::to_string(i) + "]";
            const auto& entry = (*entries)[i];
            positions_[path] = to_position(entry.source());
            if (const auto* const table = entry.as_table()) {
                visit(*table, path + ".");
            } else {
                add(path, "this entry must be a table");
            }
        }
    }

    /// The value of a key; its position is remembered.
    auto find(const toml::table& table, const std::string& path,
              std::string_view key) -> const toml::node*
    {
        const auto* const node = table.get(key);
        if (node != nullptr) {
            positions_[path + std::string(key)] = to_position(node->source());
        }
        return node;
    }

    auto find_table(const toml::table& table, const std::string& path,
                    std::string_view key) -> const toml::table*
    {
        const auto* const node = find(table, path, key);
        if (node == nullptr || node->is_table()) {
            return node == nullptr ? nullptr : node->as_table();
        }
        add(path + std::string(key),
            "'" + std::string(key) + "' must be a table");
        return nullptr;
    }

    auto read_number(const toml::table& table, const std::string& path,
                     std::string_view key, std::int64_t& value) -> void
    {
        if (const auto* const node = find(table, path, key)) {
            if (const auto* const number = node->as_integer()) {
                value = number->get();
            } else {
                add(path + std::string(key),
                    "'" + std::string(key) + "' must be a whole number");
            }
        }
    }

    auto read_text(const toml::table& table, const std::string& path,
                   std::string_view key, std::string& value) -> void
    {
        if (const auto* const node = find(table, path, key)) {
            if (const auto* const text = node->as_string()) {
                value = text->get();
            } else {
                add(path + std::string(key),
                    "'" + std::string(key) + "' must be a string");
            }
        }
    }

    auto require(const toml::table& table, const std::string& path,
                 std::string_view key) -> void
    {
        if (!table.contains(key)) {
            positions_[path + std::string(key)] = to_position(table.source());
            add(path + std::string(key),
                "the key '" + std::string(key) + "' is missing");
        }
    }

    auto refuse_unknown(const toml::table& table, const key_names& known)
        -> void
    {
        for (const auto& [key, node] : table) {
            if (!known.contains(key.str())) {
                problems_.push_back(
                    {to_position(key.source()),
                     "unknown key '" + std::string(key.str()) + "'"});
            }
        }
    }

    auto add(const std::string& path, std::string message) -> void
    {
        reported_.insert(path);
        problems_.push_back({position_of(path), std::move(message)});
    }

    /// Position of the value at `path`, or of the nearest table around it if
    /// the text does not hold the value.
    auto position_of(std::string path) const -> source_position
    {
        while (true) {
            if (const auto found = positions_.find(path);
                found != positions_.end()) {
                return found->second;
            }
            const auto dot = path.rfind('.');
            if (dot == std::string::npos) {
                return {};
            }
            path.resize(dot);
        }
    }

    auto add_faults(const bundle& value) -> void
    {
        for (const auto& fault : find_bundle_faults(value)) {
            // What could not be read has been reported as such.
            if (!reported_.contains(fault.path)) {
                problems_.push_back({position_of(fault.path), fault.message});
            }
        }
    }

    std::map<std::string, source_position> positions_;
    std::set<std::string> reported_;
    std::vector<bundle_problem> problems_;
};

} // namespace

auto to_string(const bundle_problem& problem) -> std::string
{
    return std::to_string(problem.where.line) + ":" +
           std::to_string(problem.where.column) + ": " + problem.message;
}

auto parse_bundle(std::string_view text) -> bundle_parse_result
{
    if (text.size() > bundle_limits::longest_text) {
        return {std::nullopt, {{{}, "the text is longer than 4 MiB"}}};
    }
    try {
        return reader().run(toml::parse(text));
    } catch (const toml::parse_error& error) {
        return {
            std::nullopt,
            {{to_position(error.source()), std::string(error.description())}}};
    }
}

} // namespace rhubarbrun::inline v1
