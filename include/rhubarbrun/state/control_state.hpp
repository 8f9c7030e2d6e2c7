#ifndef RHUBARBRUN_STATE_CONTROL_STATE_HPP
#define RHUBARBRUN_STATE_CONTROL_STATE_HPP

#include <rhubarbrun/state/control_command.hpp>
#include <rhubarbrun/state/directory_records.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace rhubarbrun::detail {
/// Defined by tests alone, to plant faults that their checks must catch.
struct state_test_access;
} // namespace rhubarbrun::detail

namespace rhubarbrun::inline v1 {

/// How far a bundle has come.
enum class bundle_stage : std::uint8_t
{
    proposed,
    approved,
    rolled,
    /// Pushed out by later proposals, or passed by a higher rolled version.
    withdrawn,
};

/// Name of a stage for responses and dumps.
[[nodiscard]] auto to_string(bundle_stage stage) noexcept -> std::string_view;

/// History of one bundle version.
struct bundle_record
{
    bundle_version version;
    bundle_digest digest;
    bundle_stage stage = bundle_stage::proposed;
    operator_id proposer;
    operator_id approver;
    operator_id roller;
    log_index proposed_at;
    log_index approved_at;
    log_index rolled_at;
    /// Wall clock in ms since 1970.
    std::int64_t proposed_ms = 0;
    std::int64_t approved_ms = 0;
    std::int64_t rolled_ms = 0;
    /// Lease of this bundle; needed after it was replaced, while leases that
    /// were granted under it may still be held.
    std::int64_t lease_ms = 0;

    friend auto operator==(const bundle_record&, const bundle_record&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(version, digest, stage, proposer, approver, roller, proposed_at,
                approved_at, rolled_at, proposed_ms, approved_ms, rolled_ms,
                lease_ms);
    }
};

/// The replicated state of the deployment.
///
/// It is a function of the commands alone: members that applied the same
/// commands at the same indexes hold equal states. Not thread-safe.
class control_state
{
public:
    /// Open proposals beyond this number withdraw the lowest version.
    static constexpr std::size_t most_open_proposals = 16;
    /// Versions whose history is kept, so that the size of the state does not
    /// grow with the age of the deployment.
    static constexpr std::size_t most_bundle_records = 1000;
    /// A version further above the one in force is refused, as a mistyped one
    /// would use up the version numbers.
    static constexpr std::uint64_t longest_version_step = 1000;
    /// Removals that deltas can name; a copy older than the oldest of them is
    /// replaced as a whole.
    static constexpr std::size_t most_removals = 4096;
    /// Bounds what false announcements can add.
    static constexpr std::size_t most_targets = 20'000;
    /// Earlier incarnations remembered per proxy.
    static constexpr std::size_t most_former_runs = 8;
    /// Rolled bundles whose leases may still be held; see
    /// `longest_granted_lease`.
    static constexpr std::size_t recent_rolls = 8;

    /// Applies the command at `index`, which must be above all earlier ones;
    /// throws `std::logic_error` otherwise. A refused command changes nothing
    /// but the index.
    auto apply(log_index index, const control_command& command)
        -> command_result;

    /// Records that an entry without a command was applied at `index`.
    auto skip(log_index index) -> void;

    /// Index of the last applied entry.
    [[nodiscard]] auto applied() const noexcept -> log_index
    {
        return applied_;
    }

    /// Encodes the whole state with a format version.
    [[nodiscard]] auto save() const -> std::string;

    /// Decodes a saved state; throws `std::runtime_error` if the bytes are
    /// not one that this version can read.
    [[nodiscard]] static auto load(std::string_view bytes) -> control_state;

    /// Changes after `since`; its cost is proportional to their number.
    [[nodiscard]] auto delta_since(log_index since) const -> directory_delta;

    /// The operator with this name and token, if it may issue commands.
    ///
    /// Operators that the last roll removed are known as well, so that they
    /// can repeat a command whose response was lost; new commands of theirs
    /// are refused by `apply`.
    [[nodiscard]] auto authenticate(const operator_id& name,
                                    std::string_view token) const -> bool;

    /// Finds an operator by its token alone.
    [[nodiscard]] auto find_operator(std::string_view token) const
        -> std::optional<operator_id>;

    /// Whether `bootstrap_command` was applied.
    [[nodiscard]] auto is_bootstrapped() const noexcept -> bool
    {
        return !operators_.empty();
    }

    /// The bundle in force; null before the first roll.
    [[nodiscard]] auto bundle_in_force() const noexcept
        -> const std::optional<bundle_header>&
    {
        return header_;
    }

    /// Content of the bundle in force or of an open proposal; null for other
    /// versions.
    [[nodiscard]] auto find_bundle(bundle_version version) const
        -> const bundle*;

    /// History by version, the oldest first.
    [[nodiscard]] auto bundle_records() const noexcept
        -> const std::map<bundle_version, bundle_record>&
    {
        return records_;
    }

    /// Longest lease that may have been granted under the current bundle or
    /// one of the recently rolled ones.
    [[nodiscard]] auto longest_granted_lease() const -> duration;

    [[nodiscard]] auto operators() const noexcept
        -> const std::vector<operator_entry>&
    {
        return operators_;
    }
    [[nodiscard]] auto groups() const noexcept
        -> const std::map<group_id, group_record>&
    {
        return groups_;
    }
    [[nodiscard]] auto targets() const noexcept
        -> const std::map<target_id, target_record>&
    {
        return targets_;
    }
    [[nodiscard]] auto proxies() const noexcept
        -> const std::map<proxy_id, proxy_record>&
    {
        return proxies_;
    }

    /// Null if there is none.
    [[nodiscard]] auto find_group(const group_id& id) const
        -> const group_record*;
    [[nodiscard]] auto find_target(const target_id& id) const
        -> const target_record*;
    [[nodiscard]] auto find_proxy(const proxy_id& id) const
        -> const proxy_record*;

    /// Whether a later incarnation of the proxy has registered.
    [[nodiscard]] auto is_superseded(const proxy_identity& proxy) const -> bool;

    /// Targets that any incarnation of `id` owns or will own next.
    [[nodiscard]] auto targets_held_by(const proxy_id& id) const
        -> const std::set<target_id>&;

    /// Targets of a group.
    [[nodiscard]] auto targets_of(const group_id& id) const
        -> const std::set<target_id>&;

    friend auto operator==(const control_state& left,
                           const control_state& right) -> bool
    {
        return left.save() == right.save();
    }

private:
    friend struct detail::state_test_access;

    enum class record_kind : std::uint8_t
    {
        bundle,
        group,
        target,
        proxy,
    };

    /// Key of a record in the index of changes.
    struct change_key
    {
        record_kind kind;
        std::string name;

        friend auto operator<=>(const change_key& left, const change_key& right)
            -> std::strong_ordering
        {
            return std::tie(left.kind, left.name) <=>
                   std::tie(right.kind, right.name);
        }

        friend auto operator==(const change_key&, const change_key&)
            -> bool = default;

        template <class Archive>
        auto serialize(Archive& archive) -> void
        {
            archive(kind, name);
        }
    };

    /// A bundle that an operator wants to approve or roll.
    struct bundle_step
    {
        /// Null if the version is unknown.
        bundle_record* record;
        /// Whether this operator took the step before.
        bool is_repeat;
        std::optional<command_result> refusal;
    };

    /// A target whose assignment is to be changed.
    struct assignment_check
    {
        /// Null if the target is unknown.
        target_record* record;
        /// Names the target's epoch; not ok if that is another one than
        /// expected, or if the target is unknown.
        command_result result;
    };

    /// `recorded` is the operator who took the step, as the record has it.
    [[nodiscard]] auto
    find_step(bundle_version version, const bundle_digest& digest,
              const operator_id& actor, operator_id bundle_record::*recorded)
        -> bundle_step;
    [[nodiscard]] auto find_assignment(const target_id& target,
                                       owner_epoch expected)
        -> assignment_check;
    auto run(const bootstrap_command& command) -> command_result;
    auto run(const propose_bundle_command& command) -> command_result;
    auto run(const approve_bundle_command& command) -> command_result;
    auto run(const roll_bundle_command& command) -> command_result;
    auto run(const register_proxy_command& command) -> command_result;
    auto run(const remove_proxy_command& command) -> command_result;
    auto run(const drain_proxy_command& command) -> command_result;
    auto run(const report_targets_command& command) -> command_result;
    auto run(const assign_target_command& command) -> command_result;
    auto run(const begin_handover_command& command) -> command_result;
    auto run(const release_target_command& command) -> command_result;
    auto run(const set_primary_command& command) -> command_result;

    template <class Archive, class Self>
    static auto archive_members(Archive& archive, Self& self) -> void;

    [[nodiscard]] auto is_present(const change_key& key) const -> bool;
    auto touch(record_kind kind, const std::string& name) -> void;
    auto trim_removals() -> void;
    auto trim_records() -> void;
    auto withdraw(bundle_record& record) -> void;
    auto withdraw_surplus_proposals() -> void;
    auto withdraw_obsolete_proposals() -> void;
    auto put_in_force(const bundle_record& record) -> void;
    auto replace_groups(const bundle& value) -> void;
    auto apply_change(const target_change& change) -> void;
    auto announce(const target_description& description) -> void;
    auto forget_target(const target_record& record) -> void;
    [[nodiscard]] auto is_primary(const target_record& record) const -> bool;
    auto drop_target(target_record& record) -> void;
    auto erase_target(const target_id& id) -> void;
    auto set_holders(target_record& record,
                     const std::optional<proxy_identity>& owner,
                     const std::optional<proxy_identity>& next) -> void;
    auto index_holder(const target_record& record) -> void;
    auto unindex_holder(const target_record& record) -> void;
    auto rebuild_indexes() -> void;
    [[nodiscard]] auto is_operator(const operator_id& id) const -> bool;
    [[nodiscard]] auto check_assignable(const proxy_identity& proxy) const
        -> command_status;
    [[nodiscard]] auto check_claim(const group_record& group,
                                   const set_primary_command& command) const
        -> command_status;
    [[nodiscard]] auto complete_delta() const -> directory_delta;
    auto add_change(directory_delta& delta, const change_key& key) const
        -> void;

    log_index applied_;
    std::vector<operator_entry> operators_;
    std::vector<operator_entry> former_operators_;
    std::vector<operator_entry> bootstrap_operators_;
    log_index bootstrapped_at_;
    std::optional<bundle_header> header_;
    /// Contents of the bundle in force and of open proposals.
    std::map<bundle_version, bundle> contents_;
    std::map<bundle_version, bundle_record> records_;
    std::map<group_id, group_record> groups_;
    std::map<target_id, target_record> targets_;
    std::map<proxy_id, proxy_record> proxies_;
    /// Earlier incarnations, the latest last, so that a registration that
    /// arrives late does not replace a newer one.
    std::map<proxy_id, std::vector<incarnation>> former_runs_;
    /// One counter for all targets, so that the epoch of a target that was
    /// forgotten and announced again does not start anew.
    owner_epoch last_epoch_;
    /// Index of the last change of each record, including removed ones.
    std::map<change_key, log_index> changed_at_;
    /// Deltas from before this index are complete ones.
    log_index oldest_delta_;

    // Derived from the members above; not saved.
    std::set<std::pair<log_index, change_key>> changes_;
    std::set<std::pair<log_index, change_key>> removals_;
    std::map<proxy_id, std::set<target_id>> held_;
    std::map<group_id, std::set<target_id>> members_;
};

} // namespace rhubarbrun::inline v1

#endif
