#ifndef RHUBARBRUN_BENCH_TARGET_ANNOUNCER_HPP
#define RHUBARBRUN_BENCH_TARGET_ANNOUNCER_HPP

#include "target_server.hpp"

#include <memory>
#include <string>
#include <vector>

namespace rhubarbrun::bench {

/// Announces a stand-in target once a second by `POST /v1/targets` to one
/// proxy after another, as the platform's load balancer would.
class target_announcer : public std::enable_shared_from_this<target_announcer>
{
public:
    explicit target_announcer(target_server& server);

    auto start() -> void;
    auto stop() -> void;
    auto announce() -> void;

private:
    struct exchange;

    [[nodiscard]] auto body() const -> std::string;

    target_server& server_;
    asio::steady_timer timer_;
    std::vector<asio::ip::tcp::endpoint> proxies_;
    std::size_t next_ = 0;
    bool is_stopped_ = false;
};

} // namespace rhubarbrun::bench

#endif
