#include <rhubarbrun/transport/target_pool.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

target_pool::target_pool(const target_pool_options& options,
                         target_pool_hooks hooks)
    : options_(options),
      hooks_(std::move(hooks)),
      budget_(options.budget),
      silence_(options.silence)
{
}

auto target_pool::take(time_point now) -> std::optional<connection_id>
{
    while (!idle_.empty()) {
        const auto id = idle_.back();
        idle_.pop_back();
        const auto found = members_.find(id);
        if (found == members_.end() || found->second.state != phase::idle) {
            continue;
        }
        switch (silence_.check(now, id)) {
        case connection_check::use:
            found->second.state = phase::busy;
            return id;
        case connection_check::probe_first:
            probe(now, id);
            break;
        case connection_check::wait:
            break;
        case connection_check::replace:
            remove(id);
            break;
        }
    }
    return std::nullopt;
}

auto target_pool::connection(connection_id id) -> target_connection*
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : found->second.connection.get();
}

auto target_pool::on_sent(connection_id id, time_point deadline) -> void
{
    silence_.on_sent(id, deadline);
}

auto target_pool::on_answered(time_point now, connection_id id) -> void
{
    silence_.on_answered(now, id);
}

auto target_pool::give_back(time_point now, connection_id id,
                            connection_disposition disposition) -> void
{
    const auto found = members_.find(id);
    if (found == members_.end()) {
        return;
    }
    const auto is_usable = disposition == connection_disposition::reuse &&
                           found->second.connection->is_ready();
    if (!is_usable) {
        if (found->second.connection->is_closed()) {
            ++lost_;
            budget_.on_lost(now);
        }
        remove(id);
        return;
    }
    make_idle(id);
}

auto target_pool::set_limits(const target_pool_limits& limits) -> void
{
    budget_.set_limits(limits.connections, limits.slots,
                       limits.reserved_connections);
    for (auto& [id, entry] : members_) {
        entry.connection->set_max_answer_bytes(limits.max_answer_bytes);
    }
}

auto target_pool::tick(time_point now, std::uint32_t waiting,
                       std::optional<std::uint32_t> previous_owner) -> void
{
    if (is_stopped_) {
        return;
    }
    for (const auto& action : silence_.tick(now)) {
        apply(now, action);
    }
    if (!previous_owner) {
        return;
    }
    auto use = connection_use{};
    use.opening = count(phase::opening);
    use.in_use = count(phase::busy);
    use.open = static_cast<std::uint32_t>(members_.size()) - use.opening;
    use.waiting = waiting;
    use.previous_owner = *previous_owner;
    const auto plan = budget_.plan(now, use);
    for (auto opened = std::uint32_t{0}; opened < plan.open; ++opened) {
        open_one();
    }
    close_idle(plan.close_idle);
}

auto target_pool::close_all() -> void
{
    auto ids = std::vector<connection_id>{};
    for (auto& [id, entry] : members_) {
        if (entry.state == phase::busy) {
            entry.connection->close();
        } else {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        remove(id);
    }
}

auto target_pool::stop() -> void
{
    is_stopped_ = true;
    close_all();
}

auto target_pool::counts() const noexcept -> target_pool_counts
{
    auto result = target_pool_counts{};
    result.opening = count(phase::opening);
    result.busy = count(phase::busy);
    result.idle = count(phase::idle) + count(phase::probing);
    result.opened = opened_;
    result.lost = lost_;
    return result;
}

auto target_pool::open_one() -> void
{
    last_id_ = last_id_.next();
    const auto id = last_id_;
    auto& entry = members_[id];
    entry.connection = hooks_.make();
    entry.connection->connect(
        options_.connect_limit,
        [self = weak_from_this(), id](const std::optional<request_error>& e) {
            if (const auto pool = self.lock()) {
                pool->on_opened(id, !e);
            }
        });
}

auto target_pool::on_opened(connection_id id, bool is_connected) -> void
{
    const auto now = hooks_.now();
    if (!members_.contains(id)) {
        return;
    }
    if (!is_connected) {
        budget_.on_open_failed(now);
        remove(id);
        return;
    }
    ++opened_;
    budget_.on_opened(now);
    silence_.on_opened(now, id);
    make_idle(id);
}

auto target_pool::probe(time_point now, connection_id id) -> void
{
    auto& entry = members_.at(id);
    entry.state = phase::probing;
    silence_.on_probe_sent(now, id);
    entry.connection->run(
        simple_statement("SELECT 1"), options_.silence.probe_timeout,
        [self = weak_from_this(), id](const target_result& result) {
            const auto pool = self.lock();
            if (!pool || !pool->members_.contains(id)) {
                return;
            }
            if (result.error) {
                ++pool->lost_;
                pool->remove(id);
                return;
            }
            pool->silence_.on_probe_answered(pool->hooks_.now(), id);
            pool->make_idle(id);
        });
}

auto target_pool::make_idle(connection_id id) -> void
{
    members_.at(id).state = phase::idle;
    idle_.push_back(id);
    hooks_.on_idle();
}

auto target_pool::remove(connection_id id) -> void
{
    silence_.on_closed(id);
    members_.erase(id);
    std::erase(idle_, id);
}

auto target_pool::close_idle(std::uint32_t count) -> void
{
    // The least recently used ones go first.
    while (count > 0 && !idle_.empty()) {
        remove(idle_.front());
        --count;
    }
}

auto target_pool::apply(time_point now, const silence_action& action) -> void
{
    const auto found = members_.find(action.connection);
    if (found == members_.end()) {
        return;
    }
    const auto is_idle = found->second.state == phase::idle;
    switch (action.finding) {
    case silence_finding::send_probe:
        if (is_idle) {
            std::erase(idle_, action.connection);
            probe(now, action.connection);
        }
        break;
    case silence_finding::silent:
        // A statement in flight gets its verdict from the closed connection.
        if (found->second.state == phase::busy) {
            found->second.connection->close();
        } else {
            ++lost_;
            remove(action.connection);
        }
        break;
    case silence_finding::too_old:
        if (is_idle) {
            remove(action.connection);
        }
        break;
    }
}

auto target_pool::count(phase state) const noexcept -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::count_if(members_.begin(), members_.end(), [&](const auto& item) {
            return item.second.state == state;
        }));
}

} // namespace rhubarbrun::inline v1
