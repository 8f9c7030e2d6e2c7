#include "consensus_core.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace rhubarbrun::detail {

auto consensus_core::compact(log_index index, std::string data) -> void
{
    if (index > log_.applied()) {
        throw std::invalid_argument("snapshot at index " +
                                    std::to_string(index.value()) +
                                    " is beyond the applied index " +
                                    std::to_string(log_.applied().value()));
    }
    if (data.size() > options_.max_snapshot_bytes) {
        throw std::invalid_argument(
            "snapshot of " + std::to_string(data.size()) +
            " bytes exceeds the limit of " +
            std::to_string(options_.max_snapshot_bytes) + " bytes");
    }
    if (index <= log_.snapshot_index()) {
        return;
    }
    auto snapshot = std::make_shared<log_snapshot>();
    snapshot->metadata.index = index;
    snapshot->metadata.elected = log_.term_at(index).value_or(election_term(0));
    snapshot->metadata.configuration = log_.configuration_until(index);
    snapshot->data = std::move(data);
    unsaved_snapshot_ = std::move(snapshot);
    log_.compact(unsaved_snapshot_, options_.retained_entries);
}

auto consensus_core::send_snapshot_chunk(time_point now,
                                         const member_identity& to,
                                         member_progress& progress) -> void
{
    const auto& snapshot = *progress.snapshot();
    const auto offset = std::min<std::uint64_t>(progress.snapshot_offset(),
                                                snapshot.data.size());
    progress.on_chunk_sent(now);
    send(to, snapshot_chunk{
                 snapshot.metadata, snapshot.data.size(), offset,
                 snapshot.data.substr(offset, options_.snapshot_chunk_bytes)});
}

auto consensus_core::on_snapshot_chunk(time_point now,
                                       const member_identity& from,
                                       snapshot_chunk& chunk) -> void
{
    if (is_leader() || chunk.total_bytes > options_.max_snapshot_bytes ||
        chunk.offset > chunk.total_bytes ||
        chunk.data.size() > chunk.total_bytes - chunk.offset)
    {
        return;
    }
    on_leader_contact(now, from);
    if (chunk.metadata.index <= log_.committed()) {
        incoming_.reset();
        send(from, append_reply{true, log_.committed(), {}, {}});
        return;
    }
    // Snapshots of two leaders at the same index may differ in their bytes.
    const auto is_continued = incoming_ && incoming_->from == from &&
                              incoming_->leader_term == state_.current &&
                              incoming_->snapshot.metadata == chunk.metadata;
    if (!is_continued) {
        incoming_ = incoming_snapshot{from, state_.current, {}};
        incoming_->snapshot.metadata = chunk.metadata;
    }
    auto& data = incoming_->snapshot.data;
    if (chunk.offset == data.size()) {
        data += chunk.data;
    }
    if (data.size() < chunk.total_bytes) {
        send(from, snapshot_reply{chunk.metadata.index, data.size()});
        return;
    }
    restore(std::move(*std::exchange(incoming_, std::nullopt)));
    send(from, append_reply{true, chunk.metadata.index, {}, {}});
}

auto consensus_core::restore(incoming_snapshot incoming) -> void
{
    auto& snapshot = incoming.snapshot;
    if (log_.term_at(snapshot.metadata.index) == snapshot.metadata.elected) {
        log_.commit(snapshot.metadata.index);
        return;
    }
    unsaved_snapshot_ =
        std::make_shared<const log_snapshot>(std::move(snapshot));
    is_restoring_ = true;
    log_.restore(unsaved_snapshot_);
}

auto consensus_core::on_snapshot_reply(time_point now,
                                       const member_identity& from,
                                       const snapshot_reply& reply) -> void
{
    const auto found = progress_.find(from);
    if (found == progress_.end()) {
        return;
    }
    auto& progress = found->second;
    if (progress.mode() == replication_mode::snapshot &&
        progress.snapshot()->metadata.index == reply.index &&
        progress.on_chunk_held(reply.next_offset))
    {
        send_snapshot_chunk(now, from, progress);
    }
}

} // namespace rhubarbrun::detail
