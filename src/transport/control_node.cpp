#include "control_node_implementation.hpp"

#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <algorithm>
#include <exception>
#include <future>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Timers are checked at least this often, so that a missed due time costs
/// no more than this.
constexpr auto longest_wait = std::chrono::milliseconds(100);

} // namespace

control_node::implementation::implementation(asio::io_context& context,
                                             control_node_options options,
                                             failure_hook on_failure)
    : options_(std::move(options)),
      on_failure_(std::move(on_failure)),
      strand_(asio::make_strand(context)),
      timer_(strand_),
      files_({options_.data_directory, options_.name}, random_number,
             options_.files),
      gate_([this](const consensus_ready& ready) {
          try {
              files_.save(ready);
          } catch (const log_full_error&) {
              return false;
          }
          return true;
      }),
      member_(files_.identity(), options_.consensus, random_number,
              files_.take_stored(), steady_now()),
      links_(context, options_.deployment_key,
             {{peer_role::control, options_.name.value()},
              files_.identity().instance},
             {[this](const link_info& link) { datagrams_.add(link); },
              [this](const link_info& link, message_type type,
                     std::string payload) {
                  run([this, link, type, bytes = std::move(payload)] {
                      on_message(link, type, bytes);
                  });
              },
              [this](const link_info& link, std::string_view) {
                  datagrams_.remove(link);
                  run([this, link] { on_link_down(link); });
              }},
             options_.links),
      datagrams_(
          context,
          [this](const link_info& link, const asio::ip::udp::endpoint& sender,
                 message_type type, const std::string& payload) {
              if (type != message_type::renew_lease) {
                  return;
              }
              if (auto request = decode<lease_request>(payload)) {
                  run([this, link, sender, asked = *request] {
                      datagrams_.send(link.id, sender,
                                      message_type::lease_grant,
                                      encode_lease_answer(on_lease(link, asked),
                                                          link.version));
                  });
              }
          }),
      http_(context, options_.http)
{
    coordinator_ =
        std::make_unique<control_coordinator>(state_, options_.coordinator);
    if (files_.torn_bytes() > 0) {
        log_event("log_tail_truncated", event_severity::warning)
            .field("bytes", files_.torn_bytes());
    }
    add_routes();
}

auto control_node::implementation::listen() -> void
{
    peer_endpoint = links_.listen(options_.peer_listen);
    datagrams_.open({peer_endpoint.address(), peer_endpoint.port()});
    http_endpoint = http_.listen(options_.http_listen);
}

auto control_node::implementation::start(
    const std::vector<control_address>& members) -> void
{
    for (const auto& other : members) {
        // One side of each pair connects, which spares a second link.
        if (other.id > options_.name) {
            links_.connect({peer_role::control, other.id.value()}, other.peer);
        }
    }
    run([this] {
        log_event("control_started")
            .field("member", files_.identity())
            .field("peer", peer_endpoint)
            .field("http", http_endpoint);
        arm_timer();
    });
}

auto control_node::implementation::stop() -> void
{
    stop_links();
    auto is_done = std::make_shared<std::promise<void>>();
    auto done = is_done->get_future();
    asio::post(strand_, [self = shared_from_this(), is_done] {
        self->is_stopped_ = true;
        self->timer_.cancel();
        is_done->set_value();
    });
    // The strand runs a save to its end first. If the io_context has stopped,
    // nothing runs there any more.
    while (!strand_.get_inner_executor().context().stopped() &&
           done.wait_for(longest_wait) != std::future_status::ready)
    {
    }
}

auto control_node::implementation::stop_links() -> void
{
    http_.stop();
    links_.stop();
    datagrams_.stop();
}

auto control_node::implementation::run(const std::function<void()>& work)
    -> void
{
    asio::post(strand_, [weak = weak_from_this(), work] {
        const auto self = weak.lock();
        if (!self || self->is_stopped_) {
            return;
        }
        try {
            work();
            self->pump();
        } catch (const std::exception& fault) {
            self->fail(fault.what());
        }
    });
}

auto control_node::implementation::fail(const std::string& reason) -> void
{
    if (std::exchange(is_stopped_, true)) {
        return;
    }
    log_event("control_member_failed", event_severity::error)
        .field("member", files_.identity())
        .field("reason", reason);
    timer_.cancel();
    stop_links();
    on_failure_(reason);
}

auto control_node::implementation::pump() -> void
{
    const auto now = steady_now();
    const auto before = state_.applied();
    auto is_idle = !resume_storage(now);
    while (!is_idle) {
        if (!carry_out_all()) {
            break;
        }
        if (is_leading() && !member_.is_leader()) {
            log_event("leadership_lost").field("member", files_.identity());
            coordinator_->stop_leading();
            for (const auto& [id, to] : subscribers_) {
                send_redirect(id, 0);
            }
            subscribers_.clear();
        }
        if (is_leading()) {
            for (const auto& command : coordinator_->tick(now)) {
                propose(command, nullptr);
            }
            if (!state_.is_bootstrapped() &&
                !options_.first_operators.empty() &&
                !std::exchange(has_bootstrap_proposal_, true))
            {
                propose(bootstrap_command{options_.first_operators}, nullptr);
            }
        }
        is_idle = !member_.has_ready();
    }
    if (state_.applied() != before) {
        push_deltas();
        save_snapshot();
    }
}

auto control_node::implementation::carry_out_all() -> bool
{
    while (member_.has_ready()) {
        auto ready = member_.take_ready();
        const auto start = steady_now();
        const auto is_saved = !ready.needs_no_storage();
        if (!gate_.save(start, ready)) {
            log_event("disk_full", event_severity::error)
                .field("member", files_.identity())
                .field("directory", options_.data_directory.string())
                .field("remedy", "free room; the member goes on by itself");
            return false;
        }
        if (is_saved) {
            save_times_(static_cast<double>((steady_now() - start).count()));
        }
        complete(ready);
    }
    return true;
}

auto control_node::implementation::resume_storage(time_point now) -> bool
{
    if (!gate_.is_blocked()) {
        return true;
    }
    const auto ready = gate_.retry(now);
    if (!ready) {
        return false;
    }
    log_event("disk_writable")
        .field("member", files_.identity())
        .field("blocked_ms", to_milliseconds(now - gate_.blocked_since()));
    complete(*ready);
    // A leader that heard nothing meanwhile is none any more.
    member_.tick(now);
    return true;
}

auto control_node::implementation::complete(const consensus_ready& ready)
    -> void
{
    member_.on_persisted(ready.number);
    for (const auto& message : ready.messages) {
        links_.send({peer_role::control, message.to.id.value()},
                    message_type::consensus, encode(message));
    }
    if (ready.is_restore) {
        state_ = control_state::load(ready.snapshot->data);
        snapshot_index_ = ready.snapshot->metadata.index;
    }
    for (const auto& entry : ready.committed) {
        apply(entry);
    }
}

auto control_node::implementation::apply(const log_entry& entry) -> void
{
    const auto now = steady_now();
    auto result = command_result{};
    ++applied_entries_;
    if (entry.kind == entry_kind::command) {
        const auto command = decode_command(entry.command);
        result = state_.apply(entry.index, command);
        log_event("command_applied")
            .field("index", entry.index)
            .field("command", name_of(command))
            .field("status", to_string(result.status));
        follow_leadership(entry);
        coordinator_->on_applied(now, command, result);
    } else {
        state_.skip(entry.index);
        follow_leadership(entry);
    }
    const auto [first, last] = pending_.equal_range(entry.index);
    auto finished = std::vector<pending_command>();
    for (auto each = first; each != last; ++each) {
        finished.push_back(std::move(each->second));
    }
    pending_.erase(first, last);
    for (const auto& each : finished) {
        const auto is_same = each.elected == entry.elected;
        each.done(is_same ? command_outcome::applied
                          : command_outcome::not_accepted,
                  is_same ? result : command_result{});
    }
}

auto control_node::implementation::follow_leadership(const log_entry& entry)
    -> void
{
    if (!member_.is_leader() || entry.elected == leading_term_) {
        return;
    }
    const auto now = steady_now();
    if (member_.status(now).current != entry.elected) {
        return;
    }
    // The first entry of this leader's own term is applied, hence all that
    // earlier leaders committed.
    leading_term_ = entry.elected;
    has_bootstrap_proposal_ = false;
    coordinator_->stop_leading();
    coordinator_->start_leading(now);
    log_event("leadership_started")
        .field("member", files_.identity())
        .field("term", entry.elected);
}

auto control_node::implementation::propose(const control_command& command,
                                           command_callback done) -> void
{
    const auto now = steady_now();
    if (gate_.is_blocked()) {
        if (done) {
            done(command_outcome::not_accepted, {});
        }
        return;
    }
    const auto result = member_.propose(now, encode_command(command));
    if (const auto* const added = std::get_if<proposal>(&result)) {
        if (done) {
            pending_.emplace(added->index, pending_command{added->elected, now,
                                                           std::move(done)});
        }
        return;
    }
    if (const auto* const refused = std::get_if<not_accepted>(&result)) {
        log_event("proposal_refused", event_severity::warning)
            .field("command", name_of(command))
            .field("reason", refused->reason);
    }
    if (done) {
        done(command_outcome::not_accepted, {});
    }
}

auto control_node::implementation::give_up_pending(time_point now) -> void
{
    auto late = std::vector<command_callback>();
    for (auto each = pending_.begin(); each != pending_.end();) {
        const auto is_covered = each->first <= state_.applied();
        if (is_covered || now - each->second.since > command_patience) {
            late.push_back(std::move(each->second.done));
            each = pending_.erase(each);
        } else {
            ++each;
        }
    }
    for (const auto& done : late) {
        done(command_outcome::unknown, {});
    }
    auto unanswered = std::vector<response_callback>();
    for (auto each = forwards_.begin(); each != forwards_.end();) {
        if (now - each->second.since > command_patience) {
            unanswered.push_back(std::move(each->second.reply));
            each = forwards_.erase(each);
        } else {
            ++each;
        }
    }
    for (const auto& reply : unanswered) {
        reply(http_error(504, "the leader did not answer; send it again"));
    }
}

auto control_node::implementation::save_snapshot() -> void
{
    const auto applied = state_.applied();
    if (gate_.is_blocked() ||
        applied.value() - snapshot_index_.value() < options_.snapshot_entries)
    {
        return;
    }
    snapshot_index_ = applied;
    member_.compact(applied, state_.save());
    static_cast<void>(carry_out_all());
}

auto control_node::implementation::arm_timer() -> void
{
    const auto now = steady_now();
    auto due =
        std::min(gate_.is_blocked() ? gate_.next_retry() : member_.next_tick(),
                 now + longest_wait);
    if (const auto next = coordinator_->next_due(); next && is_leading()) {
        due = std::min(due, *next);
    }
    timer_.expires_after(std::max(due - now, duration(1000)));
    timer_.async_wait([weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (!self || error || self->is_stopped_) {
            return;
        }
        try {
            const auto at = steady_now();
            if (!self->gate_.is_blocked()) {
                self->member_.tick(at);
            }
            self->give_up_pending(at);
            self->pump();
            self->arm_timer();
        } catch (const std::exception& fault) {
            self->fail(fault.what());
        }
    });
}

control_node::control_node(asio::io_context& context,
                           control_node_options options,
                           failure_hook on_failure)
    : implementation_(std::make_shared<implementation>(
          context, std::move(options), std::move(on_failure)))
{
}

control_node::~control_node()
{
    implementation_->stop_links();
}

auto control_node::listen() -> void
{
    implementation_->listen();
}

auto control_node::start(const std::vector<control_address>& members) -> void
{
    implementation_->start(members);
}

auto control_node::peer_endpoint() const -> asio::ip::tcp::endpoint
{
    return implementation_->peer_endpoint;
}

auto control_node::http_endpoint() const -> asio::ip::tcp::endpoint
{
    return implementation_->http_endpoint;
}

auto control_node::stop() -> void
{
    implementation_->stop();
}

} // namespace rhubarbrun::inline v1
