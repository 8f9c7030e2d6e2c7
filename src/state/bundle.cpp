#include "bundle_fields.hpp"

#include <rhubarbrun/state/bundle.hpp>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <limits>
#include <set>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto hash_digits = std::size_t{2} * SHA256_DIGEST_LENGTH;
constexpr auto whole = std::int64_t{100};
constexpr auto renewals_per_lease = std::int64_t{3};

auto sha256_hex(std::string_view text) -> std::string
{
    constexpr auto digits = std::string_view("0123456789abcdef");
    auto hash = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           hash.data());
    auto hex = std::string();
    hex.reserve(hash_digits);
    for (const auto byte : hash) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 0xFU];
    }
    return hex;
}

auto is_name_character(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '.';
}

auto is_hash(std::string_view text) -> bool
{
    return text.size() == hash_digits &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

/// Collects the faults of one bundle.
class checker
{
public:
    auto run(const bundle& value) -> std::vector<bundle_fault>
    {
        constexpr auto highest = static_cast<std::uint64_t>(
            std::numeric_limits<std::int64_t>::max());
        if (value.version.value() < 1 || value.version.value() > highest) {
            add("version", "the version must be at least 1");
        }
        check_operators(value.operators);
        check_groups(value.groups);
        const auto before = faults_.size();
        check_fields(detail::timing_fields, "timings.", value.timings);
        if (faults_.size() == before) {
            check_timing_rules(value.timings);
        }
        return std::move(faults_);
    }

private:
    auto add(std::string path, std::string message) -> void
    {
        faults_.push_back({std::move(path), std::move(message)});
    }

    auto check_name(const std::string& path, const std::string& name) -> void
    {
        if (name.empty() || name.size() > bundle_limits::longest_name ||
            !std::all_of(name.begin(), name.end(), is_name_character))
        {
            add(path, "a name has 1 to 63 letters, digits, '_', '-' or '.'");
        }
    }

    template <class Fields, class Table>
    auto check_fields(const Fields& fields, const std::string& prefix,
                      const Table& table) -> void
    {
        for (const auto& field : fields) {
            const auto value = table.*field.member;
            if (value < field.lowest || value > field.highest) {
                add(prefix + std::string(field.name),
                    "the value " + std::to_string(value) + " is not in [" +
                        std::to_string(field.lowest) + ", " +
                        std::to_string(field.highest) + "]");
            }
        }
    }

    auto check_operators(const std::vector<operator_entry>& operators) -> void
    {
        if (operators.size() < bundle_limits::fewest_operators) {
            add("operators", "at least two operators are needed, as one "
                             "proposes and another approves");
        }
        if (operators.size() > bundle_limits::most_operators) {
            add("operators", "there are more than 100 operators");
        }
        auto names = std::set<operator_id>();
        auto hashes = std::set<token_hash>();
        for (auto i = std::size_t{0}; i < operators.size(); ++i) {
            const auto path = "operators[" + std::to_string(i) + "]";
            const auto& entry = operators[i];
            check_name(path + ".id", entry.id.value());
            if (!names.insert(entry.id).second) {
                add(path + ".id",
                    "operator '" + entry.id.value() + "' is listed twice");
            }
            if (!is_hash(entry.hash.value())) {
                add(path + ".token_sha256",
                    "a token hash has 64 lower-case hexadecimal digits");
            } else if (!hashes.insert(entry.hash).second) {
                add(path + ".token_sha256",
                    "two operators have the same token");
            }
        }
    }

    auto check_groups(const std::vector<group_config>& groups) -> void
    {
        if (groups.empty()) {
            add("groups", "at least one group is needed");
        }
        if (groups.size() > bundle_limits::most_groups) {
            add("groups", "there are more than 2000 groups");
        }
        auto names = std::set<group_id>();
        auto databases = std::set<std::string_view>();
        for (auto i = std::size_t{0}; i < groups.size(); ++i) {
            const auto path = "groups[" + std::to_string(i) + "]";
            const auto& group = groups[i];
            check_name(path + ".id", group.id.value());
            check_name(path + ".database", group.database);
            if (!names.insert(group.id).second) {
                add(path + ".id",
                    "group '" + group.id.value() + "' is listed twice");
            }
            if (!databases.insert(group.database).second) {
                add(path + ".database",
                    "database '" + group.database + "' belongs to two groups");
            }
            check_group(path + ".", group);
        }
    }

    auto check_group(const std::string& prefix, const group_config& group)
        -> void
    {
        if (group.acknowledge != acknowledge_mode::primary &&
            group.acknowledge != acknowledge_mode::second_server)
        {
            add(prefix + "acknowledge", "the mode is unknown");
        }
        check_fields(detail::group_fields, prefix, group);
        check_fields(detail::read_fields, prefix + "reads.", group.reads);
        const auto before = faults_.size();
        check_fields(detail::limit_fields, prefix + "limits.", group.limits);
        if (faults_.size() == before) {
            check_limit_rules(prefix + "limits", group.limits);
        }
    }

    auto check_limit_rules(const std::string& path, const group_limits& limits)
        -> void
    {
        const auto is_in_order =
            limits.order_entry_weight >= limits.lookup_weight &&
            limits.lookup_weight >= limits.report_weight;
        if (!is_in_order) {
            add(path + ".order_entry_weight",
                "order entry must weigh at least as much as look-ups, and "
                "look-ups as much as reports");
        }
        const auto usable = limits.connections *
                            (whole - limits.reserved_connections_percent) /
                            whole;
        if (usable < limits.slots) {
            add(path + ".connections",
                "the " + std::to_string(usable) +
                    " connections that are not reserved are fewer than the " +
                    std::to_string(limits.slots) + " slots");
        }
    }

    auto check_timing_rules(const bundle_timings& timings) -> void
    {
        if (timings.lease_ms < timings.lease_renewal_ms * renewals_per_lease) {
            add("timings.lease_ms", "a lease must last at least three times "
                                    "as long as lease_renewal_ms, so that two "
                                    "lost renewals do not end it");
        }
        if (timings.probe_silence_ms < timings.probe_interval_ms) {
            add("timings.probe_silence_ms",
                "probe_silence_ms must not be shorter than "
                "probe_interval_ms");
        }
        if (timings.control_silence_ms < timings.lease_ms) {
            add("timings.control_silence_ms",
                "control_silence_ms must not be shorter than lease_ms");
        }
    }

    std::vector<bundle_fault> faults_;
};

template <class Fields, class Table>
auto append_fields(std::string& text, const Fields& fields, const Table& table)
    -> void
{
    for (const auto& field : fields) {
        text += field.name;
        text += " = ";
        text += std::to_string(table.*field.member);
        text += '\n';
    }
}

auto append_text(std::string& text, std::string_view key,
                 std::string_view value) -> void
{
    text += key;
    text += " = \"";
    text += value;
    text += "\"\n";
}

template <class Fields, class Table>
auto append_options(std::vector<bundle_option>& options, std::string_view table,
                    const Fields& fields, const Table& defaults) -> void
{
    for (const auto& field : fields) {
        options.push_back({table, field.name, field.unit,
                           defaults.*field.member, field.lowest,
                           field.highest});
    }
}

auto make_options() -> std::vector<bundle_option>
{
    auto options = std::vector<bundle_option>();
    append_options(options, "timings", detail::timing_fields, bundle_timings{});
    append_options(options, "groups", detail::group_fields, group_config{});
    append_options(options, "groups.reads", detail::read_fields, read_policy{});
    append_options(options, "groups.limits", detail::limit_fields,
                   group_limits{});
    return options;
}

template <class Entry>
auto sorted(std::vector<Entry> entries) -> std::vector<Entry>
{
    std::sort(
        entries.begin(), entries.end(),
        [](const auto& left, const auto& right) { return left.id < right.id; });
    return entries;
}

} // namespace

auto to_string(acknowledge_mode mode) noexcept -> std::string_view
{
    switch (mode) {
    case acknowledge_mode::primary:
        return "primary";
    case acknowledge_mode::second_server:
        return "second_server";
    }
    return "unknown";
}

auto bundle_options() -> std::span<const bundle_option>
{
    static const auto options = make_options();
    return options;
}

auto find_bundle_faults(const bundle& value) -> std::vector<bundle_fault>
{
    return checker().run(value);
}

auto canonical_text(const bundle& value) -> std::string
{
    auto text = "version = " + std::to_string(value.version.value()) +
                "\n\n[timings]\n";
    append_fields(text, detail::timing_fields, value.timings);
    for (const auto& entry : sorted(value.operators)) {
        text += "\n[[operators]]\n";
        append_text(text, "id", entry.id.value());
        append_text(text, "token_sha256", entry.hash.value());
    }
    for (const auto& group : sorted(value.groups)) {
        text += "\n[[groups]]\n";
        append_text(text, "id", group.id.value());
        append_text(text, "database", group.database);
        append_text(text, "acknowledge", to_string(group.acknowledge));
        append_fields(text, detail::group_fields, group);
        text += "\n[groups.reads]\n";
        append_fields(text, detail::read_fields, group.reads);
        text += "\n[groups.limits]\n";
        append_fields(text, detail::limit_fields, group.limits);
    }
    return text;
}

auto digest_of(const bundle& value) -> bundle_digest
{
    return bundle_digest(sha256_hex(canonical_text(value)));
}

auto hash_token(std::string_view token) -> token_hash
{
    return token_hash(sha256_hex(token));
}

auto is_same_hash(const token_hash& left, const token_hash& right) noexcept
    -> bool
{
    // Only the length, which is the same for all hashes, may show in the time.
    return left.value().size() == right.value().size() &&
           CRYPTO_memcmp(left.value().data(), right.value().data(),
                         left.value().size()) == 0;
}

} // namespace rhubarbrun::inline v1
