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
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
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

/// A lock on the row of a table.
using row_lock = std::pair<std::string, std::string>;

/// Thrown if a row is locked by another transaction.
struct lock_conflict
{
    row_lock lock;
};

/// An open transaction: its changes and its locks.
struct transaction
{
    bool is_explicit = false;
    bool is_failed = false;
    bool is_read_only = false;
    std::vector<change> changes;
    /// Newest version of each changed row; no value for a removed one.
    std::map<row_lock, std::optional<row_values>> overlay;
    std::set<row_lock> locks;
};

/// Calls a server function; no value if there is none of this name.
using function_hook = std::function<std::optional<column_value>(
    const std::string& name, const std::vector<column_value>& arguments)>;

/// Rows of a system view, or no value if there is none of this name.
using view_hook = std::function<std::optional<table>(const std::string& name)>;

/// Executes statements on a `store`.
class engine
{
public:
    engine(store& data, function_hook functions, view_hook views)
        : data_(&data),
          functions_(std::move(functions)),
          views_(std::move(views))
    {
    }

    /// Runs a statement that reads or changes tables and appends its encoded
    /// answer to `out`; with `has_description`, SELECT begins with
    /// RowDescription.
    ///
    /// @throws sql_error, lock_conflict; the transaction is then unchanged
    ///     except for locks
    auto execute(transaction& active, const command& wanted,
                 const std::vector<column_value>& parameters,
                 bool has_description, std::string& out) -> void;

    /// Columns of the answer; empty if the statement returns no rows.
    [[nodiscard]] auto describe(const command& wanted) const
        -> std::vector<column_description>;

    auto commit(transaction& active, std::int64_t now_us) -> void;
    auto rollback(transaction& active) -> void;

    /// Called with each released lock.
    std::function<void(const row_lock&)> on_release;

private:
    using rows_of = std::vector<std::pair<std::string, row_values>>;

    auto lock(transaction& active, const row_lock& wanted) -> void;
    auto release(transaction& active) -> void;
    auto add_change(transaction& active, change made) -> void;

    auto create(transaction& active, const command& wanted, std::string& out)
        -> void;
    auto insert(transaction& active, const command& wanted,
                const std::vector<column_value>& parameters, std::string& out)
        -> void;
    auto update(transaction& active, const command& wanted,
                const std::vector<column_value>& parameters, std::string& out)
        -> void;
    auto select(transaction& active, const command& wanted,
                const std::vector<column_value>& parameters,
                bool has_description, std::string& out) -> void;

    [[nodiscard]] auto find_table(const transaction& active,
                                  const std::string& name) const -> table;
    [[nodiscard]] auto definition_of(const transaction* active,
                                     const std::string& name) const
        -> std::optional<table_definition>;
    [[nodiscard]] auto read_row(const transaction& active,
                                const std::string& name,
                                const std::string& key) const
        -> std::optional<row_values>;
    [[nodiscard]] auto
    matching_rows(const transaction& active, const command& wanted,
                  const std::vector<column_value>& parameters) const -> rows_of;
    [[nodiscard]] auto evaluate(const expression& value,
                                const std::vector<column_value>& parameters,
                                const table_definition* definition,
                                const row_values* row) const -> column_value;

    store* data_;
    function_hook functions_;
    view_hook views_;
    std::map<row_lock, transaction*> locks_;
};

/// Type id of a column type name.
[[nodiscard]] auto type_id(std::string_view type) -> std::uint32_t;

} // namespace rhubarbrun::bench

#endif
