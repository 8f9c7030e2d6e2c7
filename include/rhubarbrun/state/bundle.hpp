#ifndef RHUBARBRUN_STATE_BUNDLE_HPP
#define RHUBARBRUN_STATE_BUNDLE_HPP

#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

/// SHA-256 of a bundle's canonical text, as 64 lower-case hexadecimal digits.
using bundle_digest = strong_id<struct bundle_digest_tag, std::string>;

/// SHA-256 of an operator's token, as 64 lower-case hexadecimal digits.
using token_hash = strong_id<struct token_hash_tag, std::string>;

/// An operator that may propose, approve and roll bundles.
struct operator_entry
{
    operator_id id;
    token_hash hash;

    friend auto operator==(const operator_entry&, const operator_entry&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, hash);
    }
};

/// When a write counts as acknowledged.
enum class acknowledge_mode : std::uint8_t
{
    /// The primary has committed it.
    primary,
    /// A second server has its log position as well.
    second_server,
};

/// Name of a mode as it stands in a bundle.
[[nodiscard]] auto to_string(acknowledge_mode mode) noexcept
    -> std::string_view;

/// Which replica may serve a read. Times are in milliseconds.
struct read_policy
{
    /// Accepted age of the data.
    std::int64_t max_age_ms = 5000;
    /// Replicas that should serve reads when they are fresh enough.
    std::int64_t replicas_wanted = 2;
    /// How long a read waits for a replica before it goes to the primary.
    std::int64_t fallback_wait_ms = 50;

    friend auto operator==(const read_policy&, const read_policy&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(max_age_ms, replicas_wanted, fallback_wait_ms);
    }
};

/// Limits of each server of a group.
struct group_limits
{
    /// Statements that execute at the same time.
    std::int64_t slots = 3;
    std::int64_t connections = 70;
    /// Share of `connections` that the owner leaves unused, so that a new
    /// owner can connect while the old one still holds its connections.
    std::int64_t reserved_connections_percent = 20;
    /// Statements that wait for a slot.
    std::int64_t queue_length = 200;
    std::int64_t queue_wait_ms = 2000;
    /// Deadline of a request whose session sets none.
    std::int64_t deadline_ms = 5000;
    /// Shares of the slots when all classes have work waiting, in proportion.
    /// With 97:2:1 order entry missed its goodput objective at four times
    /// capacity; see docs/decisions/admission.md.
    std::int64_t order_entry_weight = 195;
    std::int64_t lookup_weight = 4;
    std::int64_t report_weight = 1;
    /// Largest part of the queue that one caller may fill.
    std::int64_t caller_percent = 25;
    /// Largest result that is buffered for one session.
    std::int64_t session_result_bytes = 16'777'216;

    friend auto operator==(const group_limits&, const group_limits&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(slots, connections, reserved_connections_percent, queue_length,
                queue_wait_ms, deadline_ms, order_entry_weight, lookup_weight,
                report_weight, caller_percent, session_result_bytes);
    }
};

/// Configuration of one database group.
struct group_config
{
    group_id id;
    /// Database name in a caller's startup message; unique in a bundle.
    std::string database;
    acknowledge_mode acknowledge = acknowledge_mode::second_server;
    /// How long a write waits for the second server.
    std::int64_t acknowledge_wait_ms = 1000;
    read_policy reads;
    group_limits limits;

    friend auto operator==(const group_config&, const group_config&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, database, acknowledge, acknowledge_wait_ms, reads, limits);
    }
};

/// Timings of the whole deployment, in milliseconds.
struct bundle_timings
{
    std::int64_t lease_ms = 1500;
    std::int64_t lease_renewal_ms = 300;
    std::int64_t probe_interval_ms = 100;
    /// A server without a probe response for this long is considered failed.
    std::int64_t probe_silence_ms = 400;
    /// A server with this many consecutive failed probes is considered failed.
    std::int64_t probe_failures = 3;
    std::int64_t announcement_ttl_ms = 3000;
    /// How long a handover waits for open transactions.
    std::int64_t handover_wait_ms = 2000;
    /// A proxy without contact from control for this long is not ready.
    std::int64_t control_silence_ms = 3000;

    friend auto operator==(const bundle_timings&, const bundle_timings&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(lease_ms, lease_renewal_ms, probe_interval_ms, probe_silence_ms,
                probe_failures, announcement_ttl_ms, handover_wait_ms,
                control_silence_ms);
    }
};

/// The configuration that operators propose, approve and roll as one unit.
struct bundle
{
    bundle_version version;
    std::vector<operator_entry> operators;
    std::vector<group_config> groups;
    bundle_timings timings;

    friend auto operator==(const bundle&, const bundle&) -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(version, operators, groups, timings);
    }
};

/// Limits on the size of a bundle.
namespace bundle_limits {
inline constexpr std::size_t fewest_operators = 2;
inline constexpr std::size_t most_operators = 100;
inline constexpr std::size_t most_groups = 2000;
/// Of an operator, group or database name; the limit of PostgreSQL names.
inline constexpr std::size_t longest_name = 63;
inline constexpr std::size_t longest_text = 4'194'304;
} // namespace bundle_limits

/// Describes one numeric option of a bundle, for checks and documentation.
struct bundle_option
{
    /// `timings`, `groups`, `groups.reads` or `groups.limits`.
    std::string_view table;
    std::string_view name;
    /// `ms`, `%`, `bytes` or empty for a count.
    std::string_view unit;
    std::int64_t default_value;
    std::int64_t lowest;
    std::int64_t highest;
};

/// All numeric options.
[[nodiscard]] auto bundle_options() -> std::span<const bundle_option>;

/// A reason to refuse a bundle, with the path of the value at fault, such as
/// `groups[0].limits.slots`.
struct bundle_fault
{
    std::string path;
    std::string message;
};

/// Checks every value and the rules between values; empty if `value` is valid.
[[nodiscard]] auto find_bundle_faults(const bundle& value)
    -> std::vector<bundle_fault>;

/// Prints `value` as TOML with every option and in a fixed order, operators
/// and groups sorted by name. Equal bundles have equal canonical texts, and
/// the text parses to an equal bundle.
[[nodiscard]] auto canonical_text(const bundle& value) -> std::string;

/// SHA-256 of the canonical text.
[[nodiscard]] auto digest_of(const bundle& value) -> bundle_digest;

/// SHA-256 of an operator's token.
[[nodiscard]] auto hash_token(std::string_view token) -> token_hash;

/// Compares in time that does not depend on where the hashes differ.
[[nodiscard]] auto is_same_hash(const token_hash& left,
                                const token_hash& right) noexcept -> bool;

} // namespace rhubarbrun::inline v1

#endif
