#ifndef RHUBARBRUN_BENCH_TARGET_ENGINE_HPP
#define RHUBARBRUN_BENCH_TARGET_ENGINE_HPP

#include "target_store.hpp"

#include <rhubarbrun/protocol/pg_messages.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun::bench {

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

} // namespace rhubarbrun::bench

#endif
