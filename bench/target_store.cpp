#include "target_store.hpp"

#include <rhubarbrun/protocol/pg_writer.hpp>

#include <algorithm>
#include <charconv>

namespace rhubarbrun::bench {

namespace {

/// Bytes of a record besides its texts, about as in PostgreSQL.
constexpr auto record_overhead = std::uint64_t{32};

auto size_of(const std::vector<change>& changes) -> std::uint64_t
{
    auto size = record_overhead;
    for (const auto& one : changes) {
        size += record_overhead + one.table.size() + one.key.size();
        for (const auto& value : one.row) {
            size += value ? value->size() + 4 : 4;
        }
    }
    return size;
}

auto parse_integer(const column_value& text) -> std::int64_t
{
    auto value = std::int64_t{0};
    if (text) {
        const auto* end = text->data() + text->size();
        const auto [parsed, failure] =
            std::from_chars(text->data(), end, value);
        if (failure == std::errc{} && parsed == end) {
            return value;
        }
    }
    throw sql_error("22P02", "invalid input syntax for type bigint");
}

auto column_index(const table_definition& definition, const std::string& name)
    -> std::size_t
{
    const auto& columns = definition.columns;
    const auto found = std::find(columns.begin(), columns.end(), name);
    if (found == columns.end()) {
        throw sql_error("42703", "column \"" + name + "\" does not exist");
    }
    return static_cast<std::size_t>(found - columns.begin());
}

auto is_count(const command& wanted) -> bool
{
    return wanted.values[0].size() == 1 &&
           wanted.values[0][0].type == expression::kind::call &&
           wanted.values[0][0].text == "count";
}

auto missing_table(const std::string& name) -> sql_error
{
    return {"42P01", "relation \"" + name + "\" does not exist"};
}

/// Start of the timeline after the last one that `left` and `right` share.
auto next_start(const timeline_history& history, std::size_t shared,
                std::uint64_t end) -> std::uint64_t
{
    return shared < history.size() ? std::min(history[shared].start, end) : end;
}

} // namespace

auto type_id(std::string_view type) -> std::uint32_t
{
    constexpr auto int4_type = std::uint32_t{23};
    if (type == "bigint" || type == "int8" || type == "bigserial") {
        return pg::int8_type;
    }
    if (type == "integer" || type == "int" || type == "int4") {
        return int4_type;
    }
    return pg::text_type;
}

auto common_position(const timeline_history& left, std::uint64_t left_end,
                     const timeline_history& right, std::uint64_t right_end)
    -> std::uint64_t
{
    auto shared = std::size_t{0};
    while (shared < left.size() && shared < right.size() &&
           left[shared] == right[shared])
    {
        ++shared;
    }
    return std::min(next_start(left, shared, left_end),
                    next_start(right, shared, right_end));
}

auto store::received() const -> std::uint64_t
{
    return log_.empty() ? first_position : log_.back().end;
}

auto store::timeline() const -> std::uint32_t
{
    auto current = history_.front().timeline;
    for (const auto& entry : history_) {
        if (entry.start <= replayed_) {
            current = entry.timeline;
        }
    }
    return current;
}

auto store::apply(const log_record& record) -> void
{
    for (const auto& one : record.changes) {
        switch (one.kind) {
        case change_kind::put:
            tables_[one.table].rows[one.key] = one.row;
            break;
        case change_kind::erase:
            tables_[one.table].rows.erase(one.key);
            break;
        case change_kind::create:
            tables_[one.table].definition = one.definition;
            break;
        case change_kind::drop:
            tables_.erase(one.table);
            break;
        }
    }
    replayed_ = record.end;
    last_replayed_at_us_ = record.committed_at_us;
}

auto store::commit(std::vector<change> changes, std::int64_t now_us)
    -> const log_record&
{
    auto record = log_record{};
    record.start = received();
    record.end = record.start + size_of(changes);
    record.committed_at_us = now_us;
    record.changes = std::move(changes);
    log_.push_back(std::move(record));
    ++replayed_count_;
    apply(log_.back());
    return log_.back();
}

auto store::receive(log_record record) -> bool
{
    if (record.start != received()) {
        return false;
    }
    log_.push_back(std::move(record));
    return true;
}

auto store::replay_next() -> const log_record*
{
    if (replayed_count_ == log_.size()) {
        return nullptr;
    }
    const auto& record = log_[replayed_count_];
    ++replayed_count_;
    apply(record);
    return &record;
}

auto store::truncate(std::uint64_t position) -> void
{
    while (!log_.empty() && log_.back().end > position) {
        log_.pop_back();
    }
    if (replayed_count_ <= log_.size()) {
        return;
    }
    replayed_count_ = 0;
    replayed_ = first_position;
    last_replayed_at_us_.reset();
    tables_.clear();
    while (replay_next() != nullptr) {
    }
}

auto store::promote() -> void
{
    while (replay_next() != nullptr) {
    }
    // Timelines of the old primary that start after the last received record
    // are not part of this history.
    std::erase_if(history_, [this](const timeline_start& entry) {
        return entry.start > replayed_;
    });
    if (history_.empty()) {
        history_.emplace_back();
    }
    history_.push_back({history_.back().timeline + 1, replayed_});
}

auto store::record_at(std::uint64_t position) const -> const log_record*
{
    const auto found =
        std::lower_bound(log_.begin(), log_.end(), position,
                         [](const log_record& record, std::uint64_t wanted) {
                             return record.start < wanted;
                         });
    return found == log_.end() ? nullptr : &*found;
}

auto store::find(const std::string& name) const -> const table*
{
    const auto found = tables_.find(name);
    return found == tables_.end() ? nullptr : &found->second;
}

auto engine::lock(transaction& active, const row_lock& wanted) -> void
{
    const auto [found, is_new] = locks_.emplace(wanted, &active);
    if (!is_new && found->second != &active) {
        throw lock_conflict{wanted};
    }
    active.locks.insert(wanted);
}

auto engine::release(transaction& active) -> void
{
    const auto released = std::exchange(active.locks, {});
    for (const auto& one : released) {
        locks_.erase(one);
    }
    active = transaction{};
    for (const auto& one : released) {
        if (on_release) {
            on_release(one);
        }
    }
}

auto engine::commit(transaction& active, std::int64_t now_us) -> void
{
    if (!active.changes.empty() && !active.is_failed) {
        data_->commit(std::move(active.changes), now_us);
    }
    release(active);
}

auto engine::rollback(transaction& active) -> void
{
    release(active);
}

auto engine::add_change(transaction& active, change made) -> void
{
    if (made.kind == change_kind::put) {
        active.overlay[{made.table, made.key}] = made.row;
    } else if (made.kind == change_kind::erase) {
        active.overlay[{made.table, made.key}] = std::nullopt;
    }
    active.changes.push_back(std::move(made));
}

auto engine::definition_of(const transaction* active,
                           const std::string& name) const
    -> std::optional<table_definition>
{
    if (active != nullptr) {
        for (auto one = active->changes.rbegin(); one != active->changes.rend();
             ++one) {
            if (one->table == name && one->kind == change_kind::create) {
                return one->definition;
            }
            if (one->table == name && one->kind == change_kind::drop) {
                return std::nullopt;
            }
        }
    }
    if (const auto* found = data_->find(name)) {
        return found->definition;
    }
    return std::nullopt;
}

auto engine::read_row(const transaction& active, const std::string& name,
                      const std::string& key) const -> std::optional<row_values>
{
    const auto changed = active.overlay.find({name, key});
    if (changed != active.overlay.end()) {
        return changed->second;
    }
    const auto* found = data_->find(name);
    if (found == nullptr) {
        return std::nullopt;
    }
    const auto row = found->rows.find(key);
    return row == found->rows.end() ? std::nullopt : std::optional(row->second);
}

auto engine::evaluate(const expression& value,
                      const std::vector<column_value>& parameters,
                      const table_definition* definition,
                      const row_values* row) const -> column_value
{
    switch (value.type) {
    case expression::kind::literal:
        return value.text;
    case expression::kind::parameter:
        if (value.parameter > parameters.size()) {
            throw sql_error("08P01", "a parameter is missing");
        }
        return parameters[value.parameter - 1];
    case expression::kind::column:
        if (definition == nullptr || row == nullptr) {
            throw sql_error("42703",
                            "column \"" + value.text + "\" does not exist");
        }
        return row->at(column_index(*definition, value.text));
    case expression::kind::sum: {
        const auto left =
            evaluate(value.arguments[0], parameters, definition, row);
        const auto right =
            evaluate(value.arguments[1], parameters, definition, row);
        return std::to_string(parse_integer(left) + parse_integer(right));
    }
    case expression::kind::call: {
        auto arguments = std::vector<column_value>{};
        for (const auto& one : value.arguments) {
            arguments.push_back(evaluate(one, parameters, definition, row));
        }
        if (value.text == "coalesce") {
            for (const auto& one : arguments) {
                if (one) {
                    return one;
                }
            }
            return std::nullopt;
        }
        auto result = functions_(value.text, arguments);
        if (!result) {
            throw sql_error("42883",
                            "function " + value.text + " does not exist");
        }
        return *result;
    }
    case expression::kind::null:
    case expression::kind::all_columns:
        break;
    }
    return std::nullopt;
}

auto engine::find_table(const transaction& active,
                        const std::string& name) const -> table
{
    if (auto view = views_(name)) {
        return *view;
    }
    const auto definition = definition_of(&active, name);
    if (!definition) {
        throw missing_table(name);
    }
    auto result = table{};
    result.definition = *definition;
    return result;
}

auto engine::matching_rows(const transaction& active, const command& wanted,
                           const std::vector<column_value>& parameters) const
    -> rows_of
{
    const auto found = find_table(active, wanted.table);
    const auto& definition = found.definition;
    auto conditions = std::vector<std::pair<std::size_t, std::string>>{};
    auto key = std::optional<std::string>{};
    for (const auto& [column, value] : wanted.conditions) {
        const auto expected = evaluate(value, parameters, nullptr, nullptr);
        if (!expected) {
            return {};
        }
        const auto index = column_index(definition, column);
        if (index == definition.key_column && found.rows.empty()) {
            key = expected;
        }
        conditions.emplace_back(index, *expected);
    }
    auto rows = rows_of{};
    const auto add = [&](const std::string& row_key, const row_values& row) {
        if (std::all_of(conditions.begin(), conditions.end(),
                        [&](const auto& condition) {
                            return row.at(condition.first) == condition.second;
                        }))
        {
            rows.emplace_back(row_key, row);
        }
    };
    if (key) {
        if (const auto row = read_row(active, wanted.table, *key)) {
            add(*key, *row);
        }
        return rows;
    }
    for (const auto& [row_key, row] : found.rows) {
        add(row_key, row);
    }
    if (const auto* stored = data_->find(wanted.table)) {
        for (const auto& [row_key, row] : stored->rows) {
            if (!active.overlay.contains({wanted.table, row_key})) {
                add(row_key, row);
            }
        }
    }
    for (const auto& [place, row] : active.overlay) {
        if (place.first == wanted.table && row) {
            add(place.second, *row);
        }
    }
    return rows;
}

auto engine::create(transaction& active, const command& wanted,
                    std::string& out) -> void
{
    const auto is_create = wanted.kind == command_kind::create_table;
    const auto tag = is_create ? "CREATE TABLE" : "DROP TABLE";
    lock(active, {wanted.table, ""});
    const auto exists = definition_of(&active, wanted.table).has_value();
    if (exists == is_create) {
        if (!wanted.ignores_conflict) {
            throw is_create ? sql_error("42P07", "relation \"" + wanted.table +
                                                     "\" already exists")
                            : missing_table(wanted.table);
        }
        pg_writer(out).command_complete(tag);
        return;
    }
    auto made = change{};
    made.kind = is_create ? change_kind::create : change_kind::drop;
    made.table = wanted.table;
    made.definition.columns = wanted.columns;
    made.definition.types = wanted.types;
    made.definition.key_column = wanted.key_column;
    for (const auto& value : wanted.defaults) {
        made.definition.defaults.push_back(
            evaluate(value, {}, nullptr, nullptr));
    }
    add_change(active, std::move(made));
    pg_writer(out).command_complete(tag);
}

auto engine::insert(transaction& active, const command& wanted,
                    const std::vector<column_value>& parameters,
                    std::string& out) -> void
{
    const auto definition = definition_of(&active, wanted.table);
    if (!definition) {
        throw missing_table(wanted.table);
    }
    const auto& columns =
        wanted.columns.empty() ? definition->columns : wanted.columns;
    auto rows = std::vector<row_values>{};
    for (const auto& values : wanted.values) {
        if (values.size() > columns.size()) {
            throw sql_error("42601", "INSERT has more expressions than target "
                                     "columns");
        }
        auto row = definition->defaults;
        for (auto index = std::size_t{0}; index < values.size(); ++index) {
            row.at(column_index(*definition, columns[index])) =
                evaluate(values[index], parameters, nullptr, nullptr);
        }
        if (!row[definition->key_column]) {
            throw sql_error("23502", "null value in the primary key");
        }
        lock(active, {wanted.table, *row[definition->key_column]});
        rows.push_back(std::move(row));
    }
    auto inserted = std::size_t{0};
    for (auto& row : rows) {
        auto made = change{};
        made.table = wanted.table;
        made.key = *row[definition->key_column];
        if (read_row(active, wanted.table, made.key)) {
            if (wanted.ignores_conflict) {
                continue;
            }
            throw sql_error("23505", "duplicate key value violates unique "
                                     "constraint \"" +
                                         wanted.table + "_pkey\"");
        }
        made.row = std::move(row);
        add_change(active, std::move(made));
        ++inserted;
    }
    pg_writer(out).command_complete("INSERT 0 " + std::to_string(inserted));
}

auto engine::update(transaction& active, const command& wanted,
                    const std::vector<column_value>& parameters,
                    std::string& out) -> void
{
    for (const auto& [key, row] : matching_rows(active, wanted, parameters)) {
        lock(active, {wanted.table, key});
    }
    const auto definition = find_table(active, wanted.table).definition;
    // Read again, as a row may have changed while its lock was awaited.
    const auto rows = matching_rows(active, wanted, parameters);
    const auto is_update = wanted.kind == command_kind::update;
    for (const auto& [key, row] : rows) {
        auto made = change{};
        made.table = wanted.table;
        made.key = key;
        made.kind = is_update ? change_kind::put : change_kind::erase;
        if (is_update) {
            made.row = row;
            for (auto index = std::size_t{0}; index < wanted.columns.size();
                 ++index) {
                const auto column =
                    column_index(definition, wanted.columns[index]);
                if (column == definition.key_column) {
                    throw sql_error("0A000", "the primary key cannot change");
                }
                made.row.at(column) = evaluate(wanted.values[0][index],
                                               parameters, &definition, &row);
            }
        }
        add_change(active, std::move(made));
    }
    pg_writer(out).command_complete((is_update ? "UPDATE " : "DELETE ") +
                                    std::to_string(rows.size()));
}

auto engine::select(transaction& active, const command& wanted,
                    const std::vector<column_value>& parameters,
                    bool has_description, std::string& out) -> void
{
    auto writer = pg_writer(out);
    const auto& list = wanted.values[0];
    const auto finish = [&](const std::vector<row_values>& rows) {
        if (has_description) {
            writer.row_description(describe(wanted));
        }
        for (const auto& row : rows) {
            writer.data_row(row);
        }
        writer.command_complete("SELECT " + std::to_string(rows.size()));
    };
    if (wanted.table.empty()) {
        auto row = row_values{};
        for (const auto& item : list) {
            row.push_back(evaluate(item, parameters, nullptr, nullptr));
        }
        finish({std::move(row)});
        return;
    }
    const auto definition = find_table(active, wanted.table).definition;
    auto found = matching_rows(active, wanted, parameters);
    if (is_count(wanted)) {
        finish({{std::to_string(found.size())}});
        return;
    }
    if (wanted.limit) {
        const auto limit = parse_integer(
            evaluate(*wanted.limit, parameters, nullptr, nullptr));
        found.resize(std::min(
            found.size(),
            static_cast<std::size_t>(std::max<std::int64_t>(limit, 0))));
    }
    auto rows = std::vector<row_values>{};
    for (const auto& [key, row] : found) {
        auto& result = rows.emplace_back();
        for (const auto& item : list) {
            if (item.type == expression::kind::all_columns) {
                result.insert(result.end(), row.begin(), row.end());
            } else {
                result.push_back(evaluate(item, parameters, &definition, &row));
            }
        }
    }
    finish(rows);
}

auto engine::describe(const command& wanted) const
    -> std::vector<column_description>
{
    auto columns = std::vector<column_description>{};
    if (wanted.kind == command_kind::show) {
        columns.emplace_back().name = wanted.table;
    }
    if (wanted.kind != command_kind::select) {
        return columns;
    }
    auto definition = std::optional<table_definition>{};
    if (!wanted.table.empty()) {
        if (auto view = views_(wanted.table)) {
            definition = view->definition;
        } else {
            definition = definition_of(nullptr, wanted.table);
        }
    }
    const auto add = [&](const std::string& name, std::uint32_t type) {
        auto& column = columns.emplace_back();
        column.name = name;
        column.type = type;
    };
    for (const auto& item : wanted.values[0]) {
        if (item.type == expression::kind::all_columns && definition) {
            for (auto index = std::size_t{0};
                 index < definition->columns.size(); ++index) {
                add(definition->columns[index],
                    type_id(definition->types[index]));
            }
        } else if (item.type == expression::kind::column && definition) {
            add(item.name, type_id(definition->types.at(
                               column_index(*definition, item.text))));
        } else {
            const auto is_number =
                item.is_number || item.type == expression::kind::sum ||
                (item.type == expression::kind::call && item.text == "count");
            add(item.name, is_number ? pg::int8_type : pg::text_type);
        }
    }
    return columns;
}

auto engine::execute(transaction& active, const command& wanted,
                     const std::vector<column_value>& parameters,
                     bool has_description, std::string& out) -> void
{
    const auto is_write = wanted.kind != command_kind::select;
    if (is_write && active.is_read_only) {
        throw sql_error("25006", "cannot execute a write in a read-only "
                                 "transaction");
    }
    switch (wanted.kind) {
    case command_kind::create_table:
    case command_kind::drop_table:
        create(active, wanted, out);
        break;
    case command_kind::insert:
        insert(active, wanted, parameters, out);
        break;
    case command_kind::update:
    case command_kind::remove:
        update(active, wanted, parameters, out);
        break;
    default:
        select(active, wanted, parameters, has_description, out);
        break;
    }
}

} // namespace rhubarbrun::bench
