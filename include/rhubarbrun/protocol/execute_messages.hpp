#ifndef RHUBARBRUN_PROTOCOL_EXECUTE_MESSAGES_HPP
#define RHUBARBRUN_PROTOCOL_EXECUTE_MESSAGES_HPP

#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/log_position.hpp>
#include <rhubarbrun/state/request_error.hpp>
#include <rhubarbrun/state/reroute_hint.hpp>
#include <rhubarbrun/state/transaction_status.hpp>
#include <rhubarbrun/state/transaction_step.hpp>
#include <rhubarbrun/state/work_class.hpp>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// How the owner sends a statement to the target.
enum class statement_form : std::uint8_t
{
    /// Simple query; may hold several statements.
    simple,
    /// Extended query with parameters.
    parameterized,
    /// Parse and Describe of a statement, without running it.
    describe,
};

/// A statement as the target connection sends it.
struct statement
{
    statement_form form = statement_form::simple;
    std::string text;
    std::vector<std::uint32_t> parameter_types;
    /// One per parameter; no value stands for NULL.
    std::vector<std::optional<std::string>> parameters;
    /// 0 for text, 1 for binary; one per parameter.
    std::vector<std::int16_t> parameter_formats;
    /// 0 for text, 1 for binary; for all result columns.
    std::int16_t result_format = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(form, text, parameter_types, parameters, parameter_formats,
                result_format);
    }
};

/// A statement of the simple query protocol.
[[nodiscard]] inline auto simple_statement(std::string text) -> statement
{
    auto body = statement{};
    body.text = std::move(text);
    return body;
}

/// Entry proxy to owner: run this statement at the target.
struct execute_request
{
    request_id id;
    session_id session;
    target_id target;
    /// Epoch under which the entry believes the target is owned; the owner
    /// refuses any other.
    owner_epoch epoch;
    /// Term of the group as the entry knows it.
    term group_term;
    statement body;
    transaction_step step = transaction_step::single;
    bool is_read_only = false;
    bool is_idempotent = false;
    request_key key;
    /// Class that the caller stated; otherwise the owner learns it.
    std::optional<work_class> hinted_class;
    /// Key for learned classes.
    std::string shape;
    /// Database user and application, as one key for fair shares.
    std::string caller;
    /// Time left, in microseconds, when the entry sent this message.
    std::int64_t time_left_us = 0;
    /// For reads at a replica: the replica must have replayed this position.
    /// The entry turns an accepted age into a position as well: that of the
    /// primary at the earliest accepted time.
    std::optional<log_position> floor;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, session, target, epoch, group_term, body, step,
                is_read_only, is_idempotent, key, hinted_class, shape, caller,
                time_left_us, floor);
    }
};

/// Owner to entry proxy: the whole answer to one `execute_request`.
struct execute_reply
{
    request_id id;
    /// Set if the proxy itself, not the target, ended the request.
    std::optional<request_error> error;
    reroute_hint reroute = reroute_hint::none;
    /// Encoded PostgreSQL backend messages, without ReadyForQuery: the rows
    /// and command tags, or the target's own ErrorResponse.
    std::string answer;
    transaction_status status = transaction_status::idle;
    /// After a write: position that this session's later reads must have
    /// seen. After a read at a replica: position that it had replayed.
    std::optional<log_position> position;
    /// Queued and running statements at the target, for the replica choice.
    std::uint32_t load = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, error, reroute, answer, status, position, load);
    }
};

/// Entry proxy to owner: the caller cancelled a request, or its session ended.
struct cancel_request
{
    session_id session;
    /// Request to cancel; 0 ends everything that the session holds.
    request_id id;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(session, id);
    }
};

/// Proxy that received a CancelRequest to the proxy that may hold the session.
/// Not answered; dropped if the key is not known there, and never passed on.
struct forward_cancel
{
    /// The cancel key, as the caller sent it.
    std::uint32_t process = 0;
    std::uint32_t secret = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(process, secret);
    }
};

/// Entry proxy to owner: how far is this target, and how busy?
struct position_query
{
    request_id id;
    target_id target;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, target);
    }
};

/// Owner to entry proxy; without a position if the asked proxy does not serve
/// the target.
struct position_answer
{
    request_id id;
    target_id target;
    /// Of a primary: the highest acknowledged position, from which a new
    /// session starts. Of a replica: the replayed position.
    std::optional<log_position> position;
    /// End of a primary's log; the age of a replica's data is measured by it.
    std::optional<log_position> log_end;
    /// Of a primary: the replicas that stream from it, hence share its history.
    std::vector<target_id> followers;
    /// Time since these positions were read, in microseconds.
    std::int64_t age_us = 0;
    /// Queued and running statements.
    std::uint32_t load = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, target, position, log_end, followers, age_us, load);
    }
};

} // namespace rhubarbrun::inline v1

#endif
