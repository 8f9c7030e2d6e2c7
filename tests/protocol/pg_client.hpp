#ifndef RHUBARBRUN_TESTS_PROTOCOL_PG_CLIENT_HPP
#define RHUBARBRUN_TESTS_PROTOCOL_PG_CLIENT_HPP

#include <rhubarbrun/protocol/caller_protocol.hpp>
#include <rhubarbrun/protocol/pg_writer.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun::test {

/// Builds the messages of a client.
class client_messages
{
public:
    client_messages() = default;
    client_messages(const client_messages&) = delete;
    auto operator=(const client_messages&) -> client_messages& = delete;

    auto startup(const std::vector<std::pair<std::string, std::string>>& pairs,
                 std::uint32_t version = pg::version_3_0) -> client_messages&
    {
        auto packet = std::string{};
        auto out = pg_writer(packet);
        out.begin('\0');
        out.put_uint32(version);
        for (const auto& [name, value] : pairs) {
            out.put_text(name);
            out.put_text(value);
        }
        out.put_byte('\0');
        out.end();
        bytes_ += packet.substr(1);
        return *this;
    }

    auto query(std::string_view text) -> client_messages&
    {
        writer_.begin(pg::query);
        writer_.put_text(text);
        writer_.end();
        return *this;
    }

    auto parse(std::string_view name, std::string_view text) -> client_messages&
    {
        writer_.begin(pg::parse);
        writer_.put_text(name);
        writer_.put_text(text);
        writer_.put_int16(0);
        writer_.end();
        return *this;
    }

    auto bind(std::string_view portal, std::string_view statement,
              const std::vector<column_value>& values,
              std::int16_t result_format = 0) -> client_messages&
    {
        writer_.begin(pg::bind);
        writer_.put_text(portal);
        writer_.put_text(statement);
        writer_.put_int16(0);
        writer_.put_int16(static_cast<std::int16_t>(values.size()));
        for (const auto& value : values) {
            writer_.put_value(value);
        }
        writer_.put_int16(1);
        writer_.put_int16(result_format);
        writer_.end();
        return *this;
    }

    auto describe(char kind, std::string_view name) -> client_messages&
    {
        return object(pg::describe, kind, name);
    }

    auto close(char kind, std::string_view name) -> client_messages&
    {
        return object(pg::close, kind, name);
    }

    auto execute(std::string_view portal, std::uint32_t limit = 0)
        -> client_messages&
    {
        writer_.begin(pg::execute);
        writer_.put_text(portal);
        writer_.put_uint32(limit);
        writer_.end();
        return *this;
    }

    auto empty(char type) -> client_messages&
    {
        writer_.empty(type);
        return *this;
    }

    auto sync() -> client_messages& { return empty(pg::sync); }

    [[nodiscard]] auto bytes() const -> const std::string& { return bytes_; }

private:
    auto object(char type, char kind, std::string_view name) -> client_messages&
    {
        writer_.begin(type);
        writer_.put_byte(kind);
        writer_.put_text(name);
        writer_.end();
        return *this;
    }

    std::string bytes_;
    pg_writer writer_{bytes_};
};

/// Types of the messages in `bytes`, in order; errors as `E` and their code in
/// parentheses, ReadyForQuery as `Z` and its status, and CommandComplete as
/// `C` and its tag in parentheses.
inline auto summary(const std::string& bytes) -> std::string
{
    auto reader = pg_frame_reader(std::size_t{64} << 20U, false);
    reader.feed(bytes);
    auto text = std::string{};
    while (const auto frame = reader.next()) {
        text.push_back(frame->type);
        if (frame->type == pg::error_response) {
            text += "(" + parse_error(frame->body).code + ")";
        } else if (frame->type == pg::ready_for_query) {
            text += frame->body;
        } else if (frame->type == pg::command_complete) {
            text += "(" + parse_query(frame->body) + ")";
        }
    }
    return text;
}

/// A session that has started, with its emitted events collected.
class session_under_test
{
public:
    explicit session_under_test(
        caller_protocol_options options = {},
        std::vector<std::pair<std::string, std::string>> parameters = {})
        : protocol(std::move(options))
    {
        parameters.emplace_back("user", "clerk");
        parameters.emplace_back("database", "orders");
        take(protocol.feed(client_messages().startup(parameters).bytes()));
        if (!protocol.is_ended()) {
            take(protocol.accept({1, 2}, "orders:1:0/1000000"));
            startup_output = protocol.take_output();
        }
    }

    auto send(const client_messages& messages) -> void
    {
        take(protocol.feed(messages.bytes()));
    }

    auto query(std::string_view text) -> std::string
    {
        send(client_messages().query(text));
        return output();
    }

    auto output() -> std::string { return summary(protocol.take_output()); }

    /// Answers the running request with a command tag.
    auto answer(const std::string& tag,
                transaction_status status = transaction_status::idle) -> void
    {
        auto reply = execute_reply{};
        pg_writer(reply.answer).command_complete(tag);
        reply.status = status;
        take(protocol.complete(reply, std::nullopt));
    }

    auto answer_error(verdict outcome, std::string code,
                      transaction_status status = transaction_status::idle)
        -> void
    {
        auto reply = execute_reply{};
        reply.error = request_error{outcome, std::move(code), "reason", {}};
        reply.status = status;
        take(protocol.complete(reply, std::nullopt));
    }

    auto take(caller_events events) -> void
    {
        for (auto& event : events) {
            if (auto* request = std::get_if<caller_request>(&event)) {
                requests.push_back(std::move(*request));
            } else if (auto* end = std::get_if<session_ended>(&event)) {
                end_reason = end->reason;
            } else if (auto* start = std::get_if<session_start>(&event)) {
                started = *start;
            } else if (auto* cancel = std::get_if<cancel_received>(&event)) {
                cancelled = cancel->key;
            } else if (auto* token =
                           std::get_if<session_token_presented>(&event)) {
                presented_token = token->token;
            }
        }
    }

    caller_protocol protocol;
    std::vector<caller_request> requests;
    std::optional<session_start> started;
    std::optional<backend_key> cancelled;
    std::string presented_token;
    std::string end_reason;
    std::string startup_output;
};

} // namespace rhubarbrun::test

#endif
