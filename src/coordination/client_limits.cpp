#include <rhubarbrun/coordination/client_limits.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

namespace {

/// Descriptors of a limit that are not for sockets.
constexpr auto other_descriptors = std::size_t{200};
/// Part of the memory for what untrusted input makes the process hold. The
/// program needs 12 MB, and buffers that grow and are copied take up to three
/// times the bytes that are charged.
constexpr auto budget_divisor = std::size_t{4};
constexpr auto kilobyte = std::size_t{1024};
/// A request of an ordinary caller has a few hundred bytes.
constexpr auto least_small = 2 * kilobyte;
constexpr auto most_small = 64 * kilobyte;
constexpr auto least_receive_buffer = 16 * kilobyte;

auto part(std::size_t whole, std::size_t divisor, std::size_t least,
          std::size_t most) -> std::size_t
{
    return std::clamp(whole / divisor, least, std::max(least, most));
}

auto limit_connections(std::size_t descriptors, client_limits& limits) -> void
{
    const auto sockets = descriptors - std::min(descriptors, other_descriptors);
    // A quarter is left for servers, links to control and the ports themselves.
    limits.readiness_requests = part(sockets, 32, 4, 256);
    limits.metrics_requests = part(sockets, 32, 4, 64);
    limits.detours = part(sockets, 16, 4, 200);
    limits.callers =
        sockets -
        std::min(sockets, sockets / 4 + limits.readiness_requests +
                              limits.metrics_requests + 2 * limits.detours);
    limits.control_requests = part(sockets, 4, 8, 1024);
    limits.unknown_links = part(sockets, 8, 8, 256);
    limits.links = part(sockets, 3, 16, 4096);
    limits.server_calls = part(sockets, 8, 8, 512);
}

auto limit_memory(std::size_t memory, client_limits& limits) -> void
{
    const auto budget = memory / budget_divisor;
    limits.memory.limit = budget;
    // Connections with small holdings fill at most half of the budget.
    limits.memory.small_holding = std::clamp(
        budget / 2 / std::clamp<std::size_t>(limits.callers, 1, 4000),
        least_small, most_small);
    limits.queued_statements = 16;
    limits.queued_bytes = 256 * kilobyte;
    limits.unread_bytes = 64 * kilobyte;
    // Counts toward the memory of the machine, twice as much. The least still
    // fills a link of 1.4 Mbit/s to callers at 3 ms.
    limits.receive_buffer = static_cast<int>(
        std::clamp(budget / std::clamp<std::size_t>(limits.callers, 1, 4000),
                   least_receive_buffer, most_small));
    // They are sent to a server together, through a queue of 2 MiB.
    limits.session_state = 2 * kilobyte * kilobyte;
    limits.message = std::chrono::seconds(20);
    limits.answer = std::chrono::seconds(20);
    // At least one document of the longest size.
    limits.http_bytes = std::max(budget / 2, 5 * kilobyte * kilobyte);
    limits.frame_bytes = budget;
}

} // namespace

auto make_client_limits(std::optional<std::uint64_t> memory,
                        std::optional<std::uint32_t> descriptors)
    -> client_limits
{
    auto limits = client_limits{};
    if (descriptors) {
        limit_connections(*descriptors, limits);
    }
    if (memory) {
        limit_memory(static_cast<std::size_t>(*memory), limits);
    }
    return limits;
}

} // namespace rhubarbrun::inline v1
