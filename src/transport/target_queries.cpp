#include <rhubarbrun/transport/target_queries.hpp>

#include <rhubarbrun/protocol/pg_reader.hpp>

#include <charconv>

namespace rhubarbrun::inline v1 {

namespace {

auto parameterized(std::string text, std::vector<std::string> values)
    -> statement
{
    auto body = statement{};
    body.form = statement_form::parameterized;
    body.text = std::move(text);
    for (auto& value : values) {
        body.parameters.emplace_back(std::move(value));
        body.parameter_formats.push_back(0);
        body.parameter_types.push_back(0);
    }
    return body;
}

/// The answer, or no value if it is malformed or an error.
auto decode(std::string_view answer) -> std::optional<decoded_answer>
{
    try {
        auto decoded = decode_answer(answer);
        if (decoded.error) {
            return std::nullopt;
        }
        return decoded;
    } catch (const protocol_error&) {
        return std::nullopt;
    }
}

template <class Number>
auto parse_number(const column_value& text) -> std::optional<Number>
{
    if (!text) {
        return std::nullopt;
    }
    auto value = Number{};
    const auto* end = text->data() + text->size();
    const auto [parsed, failure] = std::from_chars(text->data(), end, value);
    if (failure != std::errc{} || parsed != end) {
        return std::nullopt;
    }
    return value;
}

auto parse_offset(const column_value& text) -> std::optional<log_offset>
{
    return text ? parse_log_offset(*text) : std::nullopt;
}

auto escape(std::string_view text, std::string_view escaped, char with)
    -> std::string
{
    auto result = std::string{};
    for (const auto letter : text) {
        if (escaped.find(letter) != std::string_view::npos) {
            result.push_back(with);
        }
        result.push_back(letter);
    }
    return result;
}

/// A value of a connection string.
auto quote_connection_value(std::string_view text) -> std::string
{
    return "'" + escape(text, "'\\", '\\') + "'";
}

auto quote_literal(std::string_view text) -> std::string
{
    return "'" + escape(text, "'", '\'') + "'";
}

/// A text literal that has one meaning whatever `standard_conforming_strings`
/// is: text with a backslash is written as an escape string.
auto quote_text(std::string_view text) -> std::string
{
    if (text.find('\\') == std::string_view::npos) {
        return quote_literal(text);
    }
    return "E'" + escape(escape(text, "\\", '\\'), "'", '\'') + "'";
}

} // namespace

auto server_state_query() -> statement
{
    // A primary's timeline is read from the name of its log file, as the
    // control file keeps the old one until the first checkpoint after a
    // promotion.
    return simple_statement(
        "SELECT pg_is_in_recovery(), "
        "CASE WHEN pg_is_in_recovery() THEN coalesce("
        "(SELECT received_tli FROM pg_stat_wal_receiver), "
        "(SELECT timeline_id FROM pg_control_checkpoint())) "
        "ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))"
        "::bit(32)::int END, "
        "CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() "
        "ELSE pg_current_wal_lsn() END, "
        "CASE WHEN pg_is_in_recovery() THEN "
        "greatest(pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn()) "
        "ELSE pg_current_wal_lsn() END, "
        "(extract(epoch from clock_timestamp()) * 1000000)::bigint, "
        "(extract(epoch from pg_last_xact_replay_timestamp()) * 1000000)"
        "::bigint");
}

auto parse_server_state(std::string_view answer) -> std::optional<server_state>
{
    const auto decoded = decode(answer);
    if (!decoded || decoded->rows.size() != 1 || decoded->rows[0].size() != 6 ||
        !decoded->rows[0][0])
    {
        return std::nullopt;
    }
    const auto& row = decoded->rows[0];
    const auto timeline = parse_number<std::uint32_t>(row[1]);
    const auto position = parse_offset(row[2]);
    const auto received = parse_offset(row[3]);
    const auto read_at = parse_number<std::int64_t>(row[4]);
    if (!timeline || !position || !received || !read_at) {
        return std::nullopt;
    }
    auto state = server_state{};
    state.is_in_recovery = *row[0] == "t";
    state.timeline = *timeline;
    state.position = *position;
    state.received = *received;
    state.read_at_us = *read_at;
    state.last_replayed_at_us = parse_number<std::int64_t>(row[5]);
    return state;
}

auto replica_states_query() -> statement
{
    return simple_statement(
        "SELECT application_name, state, "
        "coalesce(write_lsn, '0/0'), coalesce(flush_lsn, '0/0'), "
        "coalesce(replay_lsn, '0/0') FROM pg_stat_replication");
}

auto parse_replica_states(std::string_view answer)
    -> std::optional<std::vector<replica_state>>
{
    const auto decoded = decode(answer);
    if (!decoded) {
        return std::nullopt;
    }
    auto replicas = std::vector<replica_state>{};
    for (const auto& row : decoded->rows) {
        if (row.size() != 5) {
            return std::nullopt;
        }
        const auto written = parse_offset(row[2]);
        const auto flushed = parse_offset(row[3]);
        const auto replayed = parse_offset(row[4]);
        if (!written || !flushed || !replayed) {
            return std::nullopt;
        }
        replicas.push_back(replica_state{row[0].value_or(""),
                                         row[1].value_or(""), *written,
                                         *flushed, *replayed});
    }
    return replicas;
}

auto promote_query(std::uint32_t wait_seconds) -> statement
{
    return simple_statement("SELECT pg_promote(true, " +
                            std::to_string(wait_seconds) + ")");
}

auto parse_promote(std::string_view answer) -> std::optional<bool>
{
    const auto decoded = decode(answer);
    if (!decoded || decoded->rows.size() != 1 || decoded->rows[0].empty() ||
        !decoded->rows[0][0])
    {
        return std::nullopt;
    }
    return *decoded->rows[0][0] == "t";
}

auto follow_queries(std::string_view address, std::uint16_t port,
                    std::string_view user, const target_id& name)
    -> std::vector<statement>
{
    const auto connection =
        "host=" + quote_connection_value(address) +
        " port=" + std::to_string(port) +
        " user=" + quote_connection_value(user) +
        " application_name=" + quote_connection_value(name.value());
    return {simple_statement("ALTER SYSTEM SET primary_conninfo = " +
                             quote_literal(connection)),
            simple_statement("SELECT pg_reload_conf()")};
}

auto terminate_older_query(owner_epoch epoch) -> statement
{
    // At most 18 digits are read, which always fit a bigint.
    return parameterized(
        "SELECT count(*), count(*) FILTER (WHERE state = 'active'), "
        "count(*) FILTER (WHERE ended) "
        "FROM (SELECT state, pg_terminate_backend(pid) AS ended "
        "FROM pg_stat_activity WHERE pid <> pg_backend_pid() "
        "AND application_name ~ '^rhubarbrun/.+/[0-9]{1,18}$' "
        "AND substring(application_name FROM '[0-9]{1,18}$')::bigint "
        "< $1::bigint) AS backends",
        {std::to_string(epoch.value())});
}

auto parse_older_backends(std::string_view answer)
    -> std::optional<older_backends>
{
    const auto decoded = decode(answer);
    if (!decoded || decoded->rows.size() != 1 || decoded->rows[0].size() != 3) {
        return std::nullopt;
    }
    const auto& row = decoded->rows[0];
    const auto standing = parse_number<std::uint32_t>(row[0]);
    const auto running = parse_number<std::uint32_t>(row[1]);
    const auto ended = parse_number<std::uint32_t>(row[2]);
    if (!standing || !running || !ended) {
        return std::nullopt;
    }
    return older_backends{*standing, *running, *ended};
}

auto create_request_table_query() -> statement
{
    return simple_statement("CREATE TABLE IF NOT EXISTS rhubarbrun_request ("
                            "request_key text PRIMARY KEY, "
                            "tag text NOT NULL DEFAULT '', "
                            "recorded_at timestamptz NOT NULL DEFAULT now())");
}

auto begin_request_query(std::string_view begin, const request_key& key)
    -> statement
{
    // A comment at the end of the caller's text must not hide the insert.
    return simple_statement(
        std::string(begin) +
        "\n; INSERT INTO rhubarbrun_request (request_key) VALUES (" +
        quote_text(key.value()) + ") ON CONFLICT DO NOTHING");
}

auto parse_begin_request(std::string_view answer) -> std::optional<bool>
{
    const auto decoded = decode(answer);
    if (!decoded || decoded->tags.size() < 2) {
        return std::nullopt;
    }
    if (decoded->tags.back() == "INSERT 0 1") {
        return true;
    }
    if (decoded->tags.back() == "INSERT 0 0") {
        return false;
    }
    return std::nullopt;
}

auto commit_request_query(const request_key& key, std::string_view tag)
    -> statement
{
    return simple_statement(
        "UPDATE rhubarbrun_request SET tag = " + quote_text(tag) +
        " WHERE request_key = " + quote_text(key.value()) + "; COMMIT");
}

auto find_request_query(const request_key& key) -> statement
{
    return parameterized(
        "SELECT tag FROM rhubarbrun_request WHERE request_key = $1",
        {key.value()});
}

auto parse_find_request(std::string_view answer)
    -> std::optional<std::optional<recorded_request>>
{
    const auto decoded = decode(answer);
    if (!decoded || decoded->tags.size() != 1 || decoded->rows.size() > 1) {
        return std::nullopt;
    }
    if (decoded->rows.empty()) {
        return std::optional<recorded_request>{};
    }
    if (decoded->rows[0].empty()) {
        return std::nullopt;
    }
    return std::optional(recorded_request{decoded->rows[0][0].value_or("")});
}

} // namespace rhubarbrun::inline v1
