#include "target_engine.hpp"

#include "target_rows.hpp"

#include <rhubarbrun/protocol/pg_writer.hpp>

#include <algorithm>

// The statements.

namespace rhubarbrun::bench {

namespace {

auto is_count(const command& wanted) -> bool
{
    return wanted.values[0].size() == 1 &&
           wanted.values[0][0].type == expression::kind::call &&
           wanted.values[0][0].text == "count";
}

} // namespace

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
