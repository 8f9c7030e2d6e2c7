#ifndef RHUBARBRUN_SRC_COORDINATION_CONSENSUS_ENTRIES_HPP
#define RHUBARBRUN_SRC_COORDINATION_CONSENSUS_ENTRIES_HPP

#include <rhubarbrun/state/consensus_log.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace rhubarbrun::detail {

/// The log in memory: the entries after a base, the snapshot, the
/// configurations in the entries, and the index that each stage has reached.
class entry_log
{
public:
    /// Throws `std::invalid_argument` if `stored` has gaps.
    explicit entry_log(stored_log stored);

    /// Highest index whose entry is no longer in memory.
    [[nodiscard]] auto base() const noexcept -> log_index { return base_; }
    [[nodiscard]] auto last_index() const noexcept -> log_index;
    [[nodiscard]] auto last_term() const noexcept -> election_term;

    /// Term of the entry at `index`; no value if it is below the base or
    /// beyond the end.
    [[nodiscard]] auto term_at(log_index index) const noexcept
        -> std::optional<election_term>;

    /// Largest index up to `limit` whose term is not above `bound`, and its
    /// term; used to skip whole terms when logs differ.
    [[nodiscard]] auto last_within(log_index limit, election_term bound) const
        -> std::pair<log_index, election_term>;

    /// Entries from `from` on, at least one if there is any, and otherwise
    /// within the limits.
    [[nodiscard]] auto slice(log_index from, log_index to, std::size_t entries,
                             std::size_t bytes) const -> std::vector<log_entry>;

    /// Summed weight of the entries from `first` to `last`.
    [[nodiscard]] auto weight(log_index first, log_index last) const noexcept
        -> std::size_t;

    /// Adds an entry at the end.
    auto append(log_entry entry) -> void;

    /// Adds entries that follow a matching entry, replacing those that differ.
    ///
    /// Throws `std::logic_error` if a committed entry would be replaced.
    auto merge(std::vector<log_entry> entries) -> void;

    /// Replaces the whole log by a snapshot.
    auto restore(shared_snapshot snapshot) -> void;

    /// Records a snapshot of the applied state and drops all but the last
    /// `kept` entries that it covers.
    auto compact(shared_snapshot snapshot, std::size_t kept) -> void;

    [[nodiscard]] auto committed() const noexcept -> log_index
    {
        return committed_;
    }

    /// Raises the commit index; lower values are ignored.
    auto commit(log_index index) -> void;

    /// Highest index that was returned to be applied.
    [[nodiscard]] auto applied() const noexcept -> log_index
    {
        return applied_;
    }
    [[nodiscard]] auto has_unapplied() const noexcept -> bool
    {
        return applied_ < committed_;
    }
    /// Next committed entries to apply.
    [[nodiscard]] auto take_committed(std::size_t bytes)
        -> std::vector<log_entry>;

    [[nodiscard]] auto has_unstored() const noexcept -> bool
    {
        return stored_ < last_index();
    }
    /// Returns the entries that were not yet returned to be stored.
    [[nodiscard]] auto take_unstored() -> std::vector<log_entry>;
    /// Highest index that was returned to be stored.
    [[nodiscard]] auto stored() const noexcept -> log_index { return stored_; }

    /// Records that the entry at `index` of the term `elected` and all entries
    /// before it are durable.
    auto on_persisted(log_index index, election_term elected) -> void;
    [[nodiscard]] auto persisted() const noexcept -> log_index
    {
        return persisted_;
    }

    /// Latest snapshot; null if there is none.
    [[nodiscard]] auto snapshot() const noexcept -> const shared_snapshot&
    {
        return snapshot_;
    }
    [[nodiscard]] auto snapshot_index() const noexcept -> log_index;

    /// The latest configuration in the log, committed or not.
    [[nodiscard]] auto configuration() const noexcept -> const membership&;
    /// Index of the entry that holds that configuration; 0 if there is none.
    [[nodiscard]] auto configuration_index() const noexcept -> log_index;

    /// The configuration in force at `index`, which is not below the base.
    [[nodiscard]] auto configuration_until(log_index index) const
        -> const membership&;

    /// Whether the log has never held an entry.
    [[nodiscard]] auto is_empty() const noexcept -> bool
    {
        return last_index() == log_index(0);
    }

private:
    [[nodiscard]] auto entry_at(log_index index) const -> const log_entry&;
    auto truncate(log_index first_removed) -> void;

    std::deque<log_entry> entries_;
    log_index base_;
    election_term base_term_;
    shared_snapshot snapshot_;
    /// Configurations by index, ascending; the first one is in force at the
    /// base or is empty.
    std::vector<std::pair<log_index, membership>> configurations_;
    log_index committed_;
    log_index applied_;
    log_index stored_;
    log_index persisted_;
};

/// The index `count` places after `index`.
[[nodiscard]] constexpr auto advance(log_index index,
                                     std::size_t count) noexcept -> log_index
{
    return log_index(index.value() + count);
}

/// The index before `index`, which is not 0.
[[nodiscard]] constexpr auto before(log_index index) noexcept -> log_index
{
    return log_index(index.value() - 1);
}

} // namespace rhubarbrun::detail

#endif
