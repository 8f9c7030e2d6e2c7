#ifndef RHUBARBRUN_STATE_CONTROL_COMMAND_HPP
#define RHUBARBRUN_STATE_CONTROL_COMMAND_HPP

#include <rhubarbrun/state/bundle.hpp>
#include <rhubarbrun/state/directory_records.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Sets the first operators; succeeds only while there are none.
struct bootstrap_command
{
    std::vector<operator_entry> operators;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(operators);
    }
};

/// Proposes a bundle. The caller has authenticated `proposer`.
struct propose_bundle_command
{
    operator_id proposer;
    bundle_digest digest;
    bundle content;
    /// Wall clock of the control leader, in ms since 1970, for `log` output.
    std::int64_t wall_time_ms = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(proposer, digest, content, wall_time_ms);
    }
};

/// Approves a proposed bundle; the approver is not its proposer.
struct approve_bundle_command
{
    operator_id approver;
    bundle_version version;
    bundle_digest digest;
    std::int64_t wall_time_ms = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(approver, version, digest, wall_time_ms);
    }
};

/// Puts an approved bundle in force.
struct roll_bundle_command
{
    operator_id roller;
    bundle_version version;
    bundle_digest digest;
    std::int64_t wall_time_ms = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(roller, version, digest, wall_time_ms);
    }
};

/// Adds a proxy, or a later incarnation of a known one.
struct register_proxy_command
{
    proxy_record proxy;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(proxy);
    }
};

/// Forgets a proxy; it must own no target.
struct remove_proxy_command
{
    proxy_identity proxy;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(proxy);
    }
};

/// Marks a proxy as draining. This cannot be undone for its incarnation.
struct drain_proxy_command
{
    proxy_identity proxy;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(proxy);
    }
};

/// What happened to a target.
enum class target_change_kind : std::uint8_t
{
    /// New, present again, or described differently.
    announced,
    leaving,
    gone,
    /// Gone for so long that its record is dropped; it must have no owner.
    forgotten,
};

/// One change; only the id of the description counts for `leaving`, `gone`
/// and `forgotten`.
struct target_change
{
    target_change_kind kind = target_change_kind::announced;
    target_description description;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(kind, description);
    }
};

/// Records changes of targets. Changes that do not apply (group not in the
/// bundle, target unknown) are skipped.
struct report_targets_command
{
    std::vector<target_change> changes;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(changes);
    }
};

/// Sets or clears the owner of a target if `expected_epoch` is still current.
struct assign_target_command
{
    target_id target;
    owner_epoch expected_epoch;
    std::optional<proxy_identity> owner;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(target, expected_epoch, owner);
    }
};

/// Names the next owner; the current one keeps the target until it releases
/// it. Without a next owner, a handover that was begun is called off.
struct begin_handover_command
{
    target_id target;
    owner_epoch expected_epoch;
    std::optional<proxy_identity> next_owner;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(target, expected_epoch, next_owner);
    }
};

/// The owner gives up a target; the next owner, if one is named, gets it.
struct release_target_command
{
    target_id target;
    proxy_identity owner;
    owner_epoch epoch;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(target, owner, epoch);
    }
};

/// Sets the primary of a group if its term is still `expected_term`.
///
/// The claimant owns the current primary under `claimant_epoch`; while there
/// is none, it owns any server of the group under that epoch.
struct set_primary_command
{
    group_id group;
    /// 0 while the group has no primary.
    term expected_term;
    target_id primary;
    proxy_identity claimant;
    owner_epoch claimant_epoch;
    /// Timeline of the primary; becomes the term of a group without one.
    term first_term;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(group, expected_term, primary, claimant, claimant_epoch,
                first_term);
    }
};

/// A change of the replicated control state. New kinds are added at the end,
/// as the index of the kind is part of the encoding.
using control_command = std::variant<
    bootstrap_command, propose_bundle_command, approve_bundle_command,
    roll_bundle_command, register_proxy_command, remove_proxy_command,
    drain_proxy_command, report_targets_command, assign_target_command,
    begin_handover_command, release_target_command, set_primary_command>;

/// Encodes a command for the log.
[[nodiscard]] auto encode_command(const control_command& command)
    -> std::string;

/// Decodes a command; throws `std::runtime_error` if the bytes are not the
/// encoding of one.
[[nodiscard]] auto decode_command(std::string_view bytes) -> control_command;

/// Name of the kind of a command for logs.
[[nodiscard]] auto name_of(const control_command& command) noexcept
    -> std::string_view;

/// Outcome of a command.
enum class command_status : std::uint8_t
{
    ok,
    /// Bootstrap: there are operators already.
    not_empty,
    unknown_operator,
    invalid_bundle,
    /// The digest is not that of the bundle with this version.
    digest_mismatch,
    /// Another proposal won this version; the result names it.
    version_taken,
    /// The version is not above the one in force.
    version_not_higher,
    /// The version is too far above the one in force.
    version_out_of_range,
    unknown_version,
    /// The proposal was pushed out by later ones.
    withdrawn,
    self_approval,
    /// Another operator approved it before; the result names that operator.
    already_approved,
    not_approved,
    /// Another operator rolled it before; the result names that operator.
    already_rolled,
    unknown_proxy,
    /// A later incarnation of the proxy has registered.
    stale_incarnation,
    proxy_owns_targets,
    proxy_draining,
    unknown_target,
    unknown_group,
    /// The target's epoch is not the expected one.
    stale_epoch,
    not_owner,
    /// The group's term is not the expected one.
    stale_term,
    /// The chosen primary is gone or of another group.
    unsuitable_target,
};

/// Name of a status for responses and logs.
[[nodiscard]] auto to_string(command_status status) noexcept
    -> std::string_view;

/// What a command did, or why it was refused.
struct command_result
{
    command_status status = command_status::ok;
    /// Log index of the first command that had this effect; a resent command
    /// gets the index of the original.
    log_index effective_at;
    /// Bundle commands: the bundle that holds the version.
    bundle_version version;
    bundle_digest digest;
    operator_id proposer;
    /// Approve and roll: who approved or rolled it.
    operator_id actor;
    /// Reasons for `invalid_bundle`.
    std::vector<std::string> details;
    /// Target commands: the target's epoch after the command.
    owner_epoch epoch;
    /// Set primary: the group's term after the command.
    term group_term;

    [[nodiscard]] auto is_ok() const noexcept -> bool
    {
        return status == command_status::ok;
    }

    friend auto operator==(const command_result&, const command_result&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(status, effective_at, version, digest, proposer, actor, details,
                epoch, group_term);
    }
};

} // namespace rhubarbrun::inline v1

#endif
