#ifndef RHUBARBRUN_TESTS_COORDINATION_MACHINE_GROUP_HPP
#define RHUBARBRUN_TESTS_COORDINATION_MACHINE_GROUP_HPP

#include <rhubarbrun/coordination/consensus.hpp>
#include <rhubarbrun/coordination/member_contacts.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

/// What a deployment states about its machines.
struct machine_group_settings
{
    /// Machines that may be lost at a time; there are one more than twice as
    /// many.
    std::size_t tolerated_losses = 2;
    /// A machine still counts as lost for this long after it is back.
    duration catch_up = std::chrono::seconds(4);
    /// Whether there is one machine more from the beginning, as before a
    /// planned replacement.
    bool starts_with_spare = false;

    // Rules that an earlier version lacked.
    bool dials_without_leader = true;
    bool checks_acknowledgements = true;
    bool leaves_before_the_end = true;
};

/// Control members on machines that come and go, in virtual time. Messages pass
/// only over links that one side has opened, and every acknowledgement is
/// checked against the losses that must be tolerated.
class machine_group
{
public:
    explicit machine_group(machine_group_settings settings);

    auto run(duration length) -> void;

    /// Starts a new machine with an empty disk and returns its name; the names
    /// of such machines stand before, among and after those of the first.
    auto join() -> std::string;
    /// Ends a machine for good as planned: its process may finish.
    auto retire(const std::string& name) -> void;
    /// Ends a machine for good.
    auto lose(const std::string& name) -> void;
    auto power_off(const std::string& name) -> void;
    /// Restarts a machine with an empty disk, at once.
    auto wipe(const std::string& name) -> void;
    /// Starts all machines that have no power.
    auto power_on() -> void;
    /// Starts a successor for every machine that has none.
    auto replace_lost() -> void;

    /// Machines that run, ascending by name; the leader is left out.
    [[nodiscard]] auto followers() const -> std::vector<std::string>;
    /// Empty if there is none.
    [[nodiscard]] auto leader() const -> std::string;
    /// Machines that count as lost now.
    [[nodiscard]] auto lost_count() const -> std::size_t;
    /// Whether one machine more than the deployment needs has caught up.
    [[nodiscard]] auto has_spare() const -> bool;
    /// Whether the group outlasts the losses of the deployment now.
    [[nodiscard]] auto is_tolerant() const -> bool;

    /// Machines whose logs do not advance.
    std::set<std::string> lagging;

    /// What was wrong at an acknowledgement or a planned end, with its time.
    std::vector<std::string> violations;
    std::size_t acknowledgements = 0;
    /// Longest time from a change's submission to its acknowledgement.
    duration longest_wait = duration::zero();

private:
    struct machine
    {
        incarnation instance;
        stored_log disk;
        /// Null while it has no power.
        std::unique_ptr<consensus_member> member;
        std::set<std::string> dialed;
        /// Members as the others told them.
        std::map<std::string, std::vector<std::string>> told;
        std::optional<time_point> retired_at;
        time_point back_at;
    };

    auto start(const std::string& name, bool is_founding) -> void;
    auto look(const std::string& name) -> void;
    auto tell_members() -> void;
    [[nodiscard]] auto are_linked(const std::string& left,
                                  const std::string& right) const -> bool;
    auto deliver() -> void;
    auto end_retired() -> void;
    auto submit() -> void;
    auto acknowledge() -> void;
    [[nodiscard]] auto outlasts(const membership& configuration,
                                std::size_t losses) const -> bool;
    /// Notes a violation unless the group outlasts the losses that may still
    /// come.
    auto check(const membership& configuration, const std::string& occasion)
        -> void;
    /// By the longest log of a running machine.
    [[nodiscard]] auto newest_configuration() const -> membership;
    /// Members by the machine's own log.
    [[nodiscard]] auto members_of(const machine& each) const
        -> std::vector<std::string>;

    machine_group_settings settings_;
    std::vector<std::string> seeds_;
    std::vector<std::string> spare_names_;
    std::map<std::string, machine> machines_;
    std::mt19937_64 random_{7};
    time_point now_ = time_point(std::chrono::seconds(100));
    time_point next_look_ = now_;
    std::uint64_t last_instance_ = 0;
    /// When machines that were lost for good, or replaced, got successors.
    std::size_t without_successor_ = 0;
    std::size_t successors_ = 0;

    struct submission
    {
        std::string leader;
        proposal where;
        std::uint64_t round = 0;
        time_point at;
    };
    std::optional<submission> open_;
    time_point next_submission_ = now_;
    /// Since when no change has been acknowledged.
    time_point waiting_since_ = now_;
};

} // namespace rhubarbrun_tests

#endif
