#include <rhubarbrun/coordination/consensus.hpp>
#include <rhubarbrun/transport/log_files.hpp>

#include "volatile_disk.hpp"

#include <doctest/doctest.h>

#include <unistd.h>

#include <deque>
#include <random>
#include <set>

using namespace rhubarbrun;
using namespace rhubarbrun::test;

namespace {

namespace fs = std::filesystem;

/// What happens to files when a process ends at a file operation.
enum class ending : std::uint8_t
{
    /// The machine loses power: only what was synced is left.
    power_loss,
    /// The process alone ends: its files keep everything that was written.
    /// Power is lost some operations after the restart.
    process_then_power_loss,
};

/// Members over real files, in virtual time, that exchange messages at once.
/// Everything a member has saved counts as promised to the others.
class file_group
{
public:
    explicit file_group(std::size_t size)
    {
        auto name = (fs::temp_directory_path() / "rhubarbrunXXXXXX").string();
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        root_ = name;
        for (auto index = std::size_t{0}; index < size; ++index) {
            nodes_.push_back(std::make_unique<node>(root_ / name_of(index)));
        }
    }
    file_group(const file_group&) = delete;
    auto operator=(const file_group&) -> file_group& = delete;
    ~file_group()
    {
        for (auto& each : nodes_) {
            stop(*each);
        }
        fs::remove_all(root_);
    }

    auto disk(std::size_t index) -> volatile_disk&
    {
        return nodes_[index]->disk;
    }

    /// Proposes commands, changes the leader twice, and repairs everything at
    /// the end. `on_crash` is called after each end of a process.
    auto run(const std::function<void(std::size_t)>& on_crash) -> void
    {
        on_crash_ = on_crash;
        constexpr auto steps = 900;
        constexpr auto last_fault = 600;
        constexpr auto last_proposal = 850;
        for (auto step = 0; step < steps; ++step) {
            now_ += std::chrono::milliseconds(10);
            if (step == last_fault) {
                for (auto& each : nodes_) {
                    each->disk.stop_crashing();
                }
            }
            // The leader is cut off for longer than an election takes, and
            // writes more entries that will not be committed than the others
            // commit. It then restores a snapshot below its last entry.
            if (step == 150 || step == 380) {
                isolated_ = leader();
            } else if (step == 330 || step == 560) {
                isolated_ = nodes_.size();
            }
            for (auto index = std::size_t{0}; index < nodes_.size(); ++index) {
                advance(index, step < last_proposal &&
                                   step % (index == isolated_ ? 4 : 12) == 0);
            }
            deliver();
        }
        check_end();
    }

    std::vector<std::string> violations;

    [[nodiscard]] auto committed() const -> std::size_t
    {
        return committed_.size();
    }
    [[nodiscard]] auto crashes() const -> std::size_t { return crashes_; }

private:
    struct node
    {
        explicit node(fs::path path) : directory(path), disk(std::move(path)) {}

        fs::path directory;
        volatile_disk disk;
        std::unique_ptr<log_files> files;
        std::optional<consensus_member> member;
        member_identity identity;
        /// Terms of the entries as they were handed out to be saved.
        std::map<log_index, election_term> written;
        log_index applied;
        /// What `save` returned for.
        std::map<log_index, election_term> promised;
        hard_state promised_state;
    };

    static auto name_of(std::size_t index) -> std::string
    {
        return {static_cast<char>('a' + index)};
    }

    static auto stop(node& each) -> void
    {
        each.member.reset();
        each.files.reset();
    }

    auto fail(const std::string& what) -> void { violations.push_back(what); }

    auto leader() const -> std::size_t
    {
        for (auto index = std::size_t{0}; index < nodes_.size(); ++index) {
            const auto& member = nodes_[index]->member;
            if (member && member->is_leader()) {
                return index;
            }
        }
        return nodes_.size();
    }

    /// Runs `work` of a member; a simulated crash ends the member.
    template <class Work>
    auto guard(std::size_t index, const Work& work) -> void
    {
        auto& each = *nodes_[index];
        try {
            if (!each.member) {
                start(each, index);
            }
            work(each);
            drain(each);
        } catch (const simulated_crash&) {
            stop(each);
            ++crashes_;
            on_crash_(index);
        } catch (const log_corrupt_error& fault) {
            fail(std::string("refused to start: ") + fault.what());
            throw;
        }
    }

    auto advance(std::size_t index, bool is_proposing) -> void
    {
        guard(index, [&](node& each) {
            each.member->tick(now_);
            if (is_proposing && each.member->is_leader()) {
                (void)each.member->propose(
                    now_, "command " + std::to_string(++commands_));
            }
        });
    }

    auto start(node& each, std::size_t index) -> void
    {
        auto options = log_files_options{};
        options.directory = each.directory;
        options.member = member_id(name_of(index));
        options.segment_bytes = 600;
        each.files = std::make_unique<log_files>(
            options, [this] { return random_() | 1U; }, each.disk.hooks());
        auto stored = each.files->take_stored();
        check_stored(each, stored);
        each.identity = each.files->identity();
        each.written.clear();
        each.applied = log_index();
        if (stored.snapshot) {
            each.applied = stored.snapshot->metadata.index;
        }
        for (const auto& entry : stored.entries) {
            each.written[entry.index] = entry.elected;
        }
        auto consensus = consensus_options{};
        for (auto other = std::size_t{0}; other < nodes_.size(); ++other) {
            consensus.members.emplace_back(name_of(other));
        }
        consensus.is_founding = true;
        consensus.retained_entries = 2;
        each.member.emplace(
            each.identity, consensus, [this] { return random_(); },
            std::move(stored), now_);
    }

    /// What a member promised must be there after its restart.
    auto check_stored(node& each, const stored_log& stored) -> void
    {
        const auto& before = each.promised_state;
        const auto& after = stored.state;
        if (after.current < before.current ||
            (after.current == before.current && before.voted_for &&
             after.voted_for != before.voted_for))
        {
            fail("a saved term or vote was lost");
        }
        auto held = std::map<log_index, election_term>();
        for (const auto& entry : stored.entries) {
            held[entry.index] = entry.elected;
        }
        const auto covered =
            stored.snapshot ? stored.snapshot->metadata.index : log_index();
        for (const auto& [index, entry] : committed_) {
            const auto found = each.promised.find(index);
            const auto is_promised =
                found != each.promised.end() && found->second == entry.elected;
            const auto is_held =
                index <= covered ||
                (held.contains(index) && held.at(index) == entry.elected);
            if (is_promised && !is_held) {
                fail("committed entry " + std::to_string(index.value()) +
                     " was lost");
            }
        }
    }

    auto drain(node& each) -> void
    {
        while (each.member->has_ready()) {
            const auto ready = each.member->take_ready();
            if (ready.is_restore) {
                each.written.clear();
            }
            for (const auto& entry : ready.entries) {
                each.written.erase(each.written.lower_bound(entry.index),
                                   each.written.end());
                each.written[entry.index] = entry.elected;
            }
            if (!ready.needs_no_storage()) {
                each.files->save(ready);
                each.promised = each.written;
                each.promised_state = ready.state.value_or(each.promised_state);
            }
            each.member->on_persisted(ready.number);
            for (const auto& message : ready.messages) {
                note_vote(message);
                messages_.push_back(message);
            }
            if (ready.is_restore) {
                each.applied = ready.snapshot->metadata.index;
                if (ready.snapshot->data != data_at(each.applied)) {
                    fail("a snapshot differs from the applied entries");
                }
            }
            for (const auto& entry : ready.committed) {
                apply(each, entry);
            }
            if (each.applied.value() % 5 == 0 && !ready.committed.empty()) {
                each.member->compact(each.applied, data_at(each.applied));
            }
        }
    }

    auto apply(node& each, const log_entry& entry) -> void
    {
        if (entry.index != each.applied.next()) {
            fail("applied out of order");
        }
        each.applied = entry.index;
        const auto [known, is_new] = committed_.emplace(entry.index, entry);
        if (!is_new && !(known->second == entry)) {
            fail("entry " + std::to_string(entry.index.value()) + " changed");
        }
    }

    /// The state machine after an index: its commands, one after the other.
    auto data_at(log_index index) const -> std::string
    {
        auto result = std::string();
        for (const auto& [each, entry] : committed_) {
            if (each <= index) {
                result += entry.command + ';';
            }
        }
        return result;
    }

    auto note_vote(const consensus_message& message) -> void
    {
        const auto* const request = std::get_if<vote_request>(&message.body);
        const auto* const reply = std::get_if<vote_reply>(&message.body);
        auto candidate = std::optional<member_identity>();
        if (request != nullptr && !request->is_pre_vote) {
            candidate = message.from;
        } else if (reply != nullptr && !reply->is_pre_vote && reply->is_granted)
        {
            candidate = message.to;
        }
        if (!candidate) {
            return;
        }
        const auto [known, is_new] = votes_.emplace(
            std::pair(message.from, message.current), *candidate);
        if (!is_new && !(known->second == *candidate)) {
            fail("two votes in one term");
        }
    }

    auto deliver() -> void
    {
        // Answers within one step are limited, or two members could exchange
        // messages for ever without any time passing.
        for (auto count = 0; count < 200 && !messages_.empty(); ++count) {
            auto message = std::move(messages_.front());
            messages_.pop_front();
            const auto from = message.from.id.value()[0] - 'a';
            const auto to = message.to.id.value()[0] - 'a';
            const auto isolated = static_cast<int>(isolated_);
            if (from == isolated || to == isolated) {
                continue;
            }
            guard(static_cast<std::size_t>(to), [&](node& each) {
                each.member->step(now_, std::move(message));
            });
        }
    }

    auto check_end() -> void
    {
        const auto last =
            committed_.empty() ? log_index() : committed_.rbegin()->first;
        for (const auto& each : nodes_) {
            if (!each->member || each->applied != last) {
                fail("a member did not catch up");
            }
        }
    }

    fs::path root_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::function<void(std::size_t)> on_crash_;
    std::mt19937_64 random_{62};
    time_point now_{std::chrono::seconds(1)};
    std::size_t isolated_ = ~std::size_t{0};
    std::deque<consensus_message> messages_;
    std::map<log_index, log_entry> committed_;
    std::map<std::pair<member_identity, election_term>, member_identity> votes_;
    std::size_t commands_ = 0;
    std::size_t crashes_ = 0;
};

/// File operations between the restart of a process and the power loss.
constexpr auto operations_until_power_loss = std::size_t{4};

struct crash_summary
{
    std::size_t crashes = 0;
    std::vector<std::string> violations;
};

/// Runs the group `period` times. In each run `victim` ends at every
/// `period`-th of its file operations, each time with another first one, so
/// that it ends at every operation in one of the runs. A start takes fewer
/// operations than the periods below.
auto crash_everywhere(std::size_t size, std::size_t victim, ending how,
                      std::size_t period,
                      const std::function<void(volatile_disk&)>& plant = {})
    -> crash_summary
{
    auto result = crash_summary{};
    for (auto first = std::size_t{0}; first < period; ++first) {
        auto group = file_group(size);
        auto& disk = group.disk(victim);
        if (plant) {
            plant(disk);
        }
        disk.crash_after(first);
        auto is_power_next = how == ending::power_loss;
        try {
            group.run([&](std::size_t) {
                if (is_power_next) {
                    disk.lose_power();
                }
                disk.crash_after(is_power_next ? period
                                               : operations_until_power_loss);
                is_power_next = how == ending::power_loss || !is_power_next;
            });
        } catch (const log_corrupt_error&) {
            // Recorded as a violation.
        }
        for (const auto& violation : group.violations) {
            result.violations.push_back("run " + std::to_string(first) + ": " +
                                        violation);
        }
        result.crashes += group.crashes();
        if (plant && !result.violations.empty()) {
            break;
        }
        // The group goes on after the faults.
        CHECK(group.committed() > 15);
    }
    return result;
}

auto check_none(const crash_summary& summary) -> void
{
    MESSAGE(summary.crashes, " crashes");
    CHECK(summary.crashes > 100);
    CHECK(summary.violations.empty());
    if (!summary.violations.empty()) {
        MESSAGE(summary.violations.size(),
                " violations; first: ", summary.violations.front());
    }
}

} // namespace

// Guards against a member that promises what its files do not hold yet, and
// against files that a member cannot be started from, which show only when
// consensus and files run together.
TEST_CASE("a lone member keeps its promises through a crash at each operation")
{
    constexpr auto period = std::size_t{29};
    check_none(crash_everywhere(1, 0, ending::power_loss, period));
    check_none(crash_everywhere(1, 0, ending::process_then_power_loss, period));
}

TEST_CASE("a group of three keeps its promises through crashes of a member")
{
    // Seldom enough that the group mostly does what it does without crashes.
    constexpr auto period = std::size_t{97};
    check_none(crash_everywhere(3, 0, ending::power_loss, period));
    check_none(crash_everywhere(3, 0, ending::process_then_power_loss, period));
    check_none(crash_everywhere(3, 2, ending::power_loss, period));
}

TEST_CASE("the crash check finds files that count before they are synced")
{
    const auto files =
        crash_everywhere(1, 0, ending::power_loss, 29, [](volatile_disk& disk) {
            disk.ignores_syncs = true;
        });
    CHECK_FALSE(files.violations.empty());
    const auto names =
        crash_everywhere(1, 0, ending::power_loss, 29, [](volatile_disk& disk) {
            disk.ignores_directory_syncs = true;
        });
    CHECK_FALSE(names.violations.empty());
}
