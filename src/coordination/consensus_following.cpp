#include "consensus_core.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbrun::detail {

namespace {

/// Whether entries follow each other and the previous index, and carry what
/// their kind requires.
auto is_well_formed(const append_request& request) -> bool
{
    auto expected = request.previous_index;
    return std::all_of(request.entries.begin(), request.entries.end(),
                       [&](const auto& entry) {
                           expected = expected.next();
                           return entry.index == expected &&
                                  (entry.kind == entry_kind::configuration) ==
                                      entry.configuration.has_value();
                       });
}

} // namespace

auto consensus_core::on_append_request(time_point now,
                                       const member_identity& from,
                                       append_request& request) -> void
{
    if (is_leader() || !is_well_formed(request)) {
        return;
    }
    on_leader_contact(now, from);
    const auto previous = request.previous_index;
    // Committed entries are the same at all members and need no comparison.
    if (previous >= log_.committed() &&
        log_.term_at(previous) != request.previous_term)
    {
        const auto [index, term] =
            log_.last_within(previous, request.previous_term);
        send(from, append_reply{false, previous, index, term});
        return;
    }
    const auto last = advance(previous, request.entries.size());
    log_.merge(std::move(request.entries));
    log_.commit(std::min(request.committed, last));
    send(from, append_reply{true, std::max(last, log_.committed()), {}, {}});
}

auto consensus_core::on_heartbeat(time_point now, const member_identity& from,
                                  const heartbeat& beat) -> void
{
    if (is_leader()) {
        return;
    }
    on_leader_contact(now, from);
    log_.commit(beat.committed);
    send(from, heartbeat_reply{beat.round});
}

} // namespace rhubarbrun::detail
