#include "target_engine.hpp"

#include "target_rows.hpp"

#include <algorithm>
#include <utility>

// Transactions, locks and the rows that a statement sees.

namespace rhubarbrun::bench {

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

} // namespace rhubarbrun::bench
