#ifndef RHUBARBRUN_BENCH_TARGET_STORE_HPP
#define RHUBARBRUN_BENCH_TARGET_STORE_HPP

#include "target_sql.hpp"

#include <rhubarbrun/protocol/pg_messages.hpp>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun::bench {

struct table_definition
{
    std::vector<std::string> columns;
    std::vector<std::string> types;
    std::vector<column_value> defaults;
    std::size_t key_column = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(columns, types, defaults, key_column);
    }
};

struct table
{
    table_definition definition;
    /// Rows by the text of their key.
    std::map<std::string, row_values> rows;
};

enum class change_kind : std::uint8_t
{
    put,
    erase,
    create,
    drop,
};

struct change
{
    change_kind kind = change_kind::put;
    std::string table;
    std::string key;
    row_values row;
    table_definition definition;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(kind, table, key, row, definition);
    }
};

/// One committed transaction in the log; `start` and `end` are byte positions.
struct log_record
{
    std::uint64_t start = 0;
    std::uint64_t end = 0;
    std::int64_t committed_at_us = 0;
    std::vector<change> changes;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(start, end, committed_at_us, changes);
    }
};

/// A timeline and the position at which it starts.
struct timeline_start
{
    std::uint32_t timeline = 1;
    std::uint64_t start = 0;

    friend auto operator==(const timeline_start&, const timeline_start&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(timeline, start);
    }
};

using timeline_history = std::vector<timeline_start>;

/// Position up to which two servers have the same log; `end` is that of each
/// log's end.
[[nodiscard]] auto common_position(const timeline_history& left,
                                   std::uint64_t left_end,
                                   const timeline_history& right,
                                   std::uint64_t right_end) -> std::uint64_t;

/// Tables in memory and the log from which they can be rebuilt.
class store
{
public:
    /// First position, as of a new PostgreSQL server.
    static constexpr std::uint64_t first_position = 0x1000000;

    /// Commits `changes` on a primary and returns the new record.
    auto commit(std::vector<change> changes, std::int64_t now_us)
        -> const log_record&;

    /// Adds a record from the primary without replaying it. Returns false if
    /// it does not continue the log.
    auto receive(log_record record) -> bool;

    /// Replays the next received record; returns it or null.
    auto replay_next() -> const log_record*;

    /// Drops the log after `position` and rebuilds the tables if needed.
    auto truncate(std::uint64_t position) -> void;

    /// Starts a new timeline after all received records are replayed.
    auto promote() -> void;

    auto adopt_history(timeline_history history) -> void
    {
        history_ = std::move(history);
    }

    [[nodiscard]] auto received() const -> std::uint64_t;
    [[nodiscard]] auto replayed() const noexcept -> std::uint64_t
    {
        return replayed_;
    }
    [[nodiscard]] auto timeline() const -> std::uint32_t;
    [[nodiscard]] auto history() const -> const timeline_history&
    {
        return history_;
    }
    [[nodiscard]] auto last_replayed_at_us() const
        -> std::optional<std::int64_t>
    {
        return last_replayed_at_us_;
    }
    /// Records from `position` on; null if there is none.
    [[nodiscard]] auto record_at(std::uint64_t position) const
        -> const log_record*;

    [[nodiscard]] auto find(const std::string& name) const -> const table*;

private:
    auto apply(const log_record& record) -> void;

    std::deque<log_record> log_;
    /// Records of `log_` that are replayed.
    std::size_t replayed_count_ = 0;
    std::uint64_t replayed_ = first_position;
    std::optional<std::int64_t> last_replayed_at_us_;
    timeline_history history_{timeline_start{}};
    std::map<std::string, table> tables_;
};

} // namespace rhubarbrun::bench

#endif
