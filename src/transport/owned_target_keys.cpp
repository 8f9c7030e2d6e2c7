#include <rhubarbrun/transport/owned_target.hpp>

#include <rhubarbrun/protocol/pg_reader.hpp>
#include <rhubarbrun/protocol/pg_writer.hpp>

#include <utility>

// The part of owned_target that runs requests with a key: the key is recorded
// in the database itself, in the transaction of the request, so that a repeat
// finds the record whichever owner and primary it reaches.

namespace rhubarbrun::inline v1 {

namespace {

/// Tag of the last CommandComplete in an encoded answer.
auto last_command_tag(std::string_view answer) -> std::string
{
    auto reader = pg_frame_reader(answer.size() + 1, false);
    reader.feed(answer);
    auto tag = std::string{};
    while (const auto frame = reader.next()) {
        if (frame->type == 'C' && !frame->body.empty()) {
            tag = frame->body.substr(0, frame->body.size() - 1);
        }
    }
    return tag;
}

/// Removes the CommandComplete with which an encoded answer ends.
auto remove_last_command(std::string& answer) -> void
{
    auto last = std::string{};
    pg_writer(last).command_complete(last_command_tag(answer));
    if (answer.ends_with(last)) {
        answer.resize(answer.size() - last.size());
    }
}

auto already_used_error() -> target_result
{
    auto result = target_result{};
    result.has_target_error = true;
    result.target_code = "23505";
    pg_writer(result.answer)
        .error("ERROR", result.target_code,
               "a transaction with this request key has committed before");
    return result;
}

} // namespace

auto owned_target::run_keyed(admission_ticket ticket, keyed_step step) -> void
{
    const auto& request = jobs_.at(ticket).request;
    auto body = statement{};
    switch (step) {
    case keyed_step::begin:
        body = begin_request_query(request.step == transaction_step::begin
                                       ? request.body.text
                                       : "BEGIN",
                                   request.key);
        break;
    case keyed_step::run:
        body = request.body;
        break;
    case keyed_step::commit:
        body = commit_request_query(
            request.key, last_command_tag(jobs_.at(ticket).answer.answer));
        break;
    }
    run_statement(ticket, std::move(body),
                  [this, ticket, step](const target_result& result) {
                      on_keyed_result(ticket, step, result);
                  });
}

auto owned_target::on_keyed_result(admission_ticket ticket, keyed_step step,
                                   const target_result& result) -> void
{
    auto& work = jobs_.at(ticket);
    if (result.error) {
        auto lost = result;
        if (step == keyed_step::commit) {
            lost.error->outcome = verdict::may_have_run;
        } else if (step == keyed_step::begin) {
            lost.error->outcome = verdict::not_run;
        }
        on_result(ticket, lost);
        return;
    }
    if (result.has_target_error) {
        roll_back_and_finish(ticket, result);
        return;
    }
    const auto is_transaction = work.request.step == transaction_step::begin;
    switch (step) {
    case keyed_step::begin:
        if (!parse_begin_request(result.answer).value_or(false)) {
            answer_repeat(ticket);
        } else if (is_transaction) {
            auto opened = result;
            remove_last_command(opened.answer);
            on_result(ticket, opened);
        } else {
            run_keyed(ticket, keyed_step::run);
        }
        break;
    case keyed_step::run:
        work.answer.answer = result.answer;
        run_keyed(ticket, keyed_step::commit);
        break;
    case keyed_step::commit: {
        auto committed = result;
        committed.answer = work.answer.answer;
        on_result(ticket, committed);
        break;
    }
    }
}

auto owned_target::answer_repeat(admission_ticket ticket) -> void
{
    const auto& request = jobs_.at(ticket).request;
    if (request.step == transaction_step::begin) {
        roll_back_and_finish(ticket, already_used_error());
        return;
    }
    run_statement(ticket, find_request_query(request.key),
                  [this, ticket](const target_result& result) {
                      const auto found = parse_find_request(result.answer);
                      if (result.error || !found || !*found) {
                          roll_back_and_finish(ticket, already_used_error());
                          return;
                      }
                      auto answer = target_result{};
                      pg_writer(answer.answer).command_complete((*found)->tag);
                      roll_back_and_finish(ticket, std::move(answer));
                  });
}

auto owned_target::roll_back_and_finish(admission_ticket ticket,
                                        target_result answer) -> void
{
    run_statement(
        ticket, simple_statement("ROLLBACK"),
        [this, ticket,
         answer = std::move(answer)](const target_result& result) mutable {
            answer.status = result.status;
            if (result.error) {
                // Nothing was committed, and the answer is known;
                // only the connection is lost.
                pool_->connection(*jobs_.at(ticket).connection)->close();
            }
            on_result(ticket, answer);
        });
}

} // namespace rhubarbrun::inline v1
