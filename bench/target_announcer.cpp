#include "target_announcer.hpp"

#include <sstream>

namespace rhubarbrun::bench {

namespace {

constexpr auto announce_interval = std::chrono::seconds(1);
constexpr auto exchange_time = std::chrono::milliseconds(500);

auto quote(const std::string& text) -> std::string
{
    auto quoted = std::string("\"");
    for (const auto letter : text) {
        if (letter == '"' || letter == '\\') {
            quoted.push_back('\\');
        }
        quoted.push_back(letter);
    }
    return quoted + '"';
}

} // namespace

/// One HTTP request; ends by the answer, a failure or the time limit.
struct target_announcer::exchange
{
    exchange(asio::io_context& context, std::string text)
        : socket(context), timer(context), request(std::move(text))
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string request;
    std::string response;
};

target_announcer::target_announcer(target_server& server)
    : server_(server), timer_(server.context())
{
    for (const auto& address : server.options().announce_to) {
        proxies_.push_back(parse_endpoint(address));
    }
}

auto target_announcer::start() -> void
{
    if (is_stopped_ || proxies_.empty()) {
        return;
    }
    announce();
    timer_.expires_after(announce_interval);
    timer_.async_wait([self = shared_from_this()](error_code failure) {
        if (!failure) {
            self->start();
        }
    });
}

auto target_announcer::stop() -> void
{
    is_stopped_ = true;
    timer_.cancel();
}

auto target_announcer::body() const -> std::string
{
    const auto& options = server_.options();
    auto text = std::ostringstream{};
    text << "{\"database\":" << quote(options.database)
         << ",\"server\":" << quote(options.server)
         << ",\"address\":" << quote(options.address)
         << ",\"port\":" << options.port << ",\"zone\":" << quote(options.zone)
         << ",\"slots\":" << options.slots
         << ",\"connection_limit\":" << options.connection_limit
         << ",\"leaving\":" << (server_.is_leaving() ? "true" : "false") << "}";
    return text.str();
}

auto target_announcer::announce() -> void
{
    if (proxies_.empty() || server_.silent_until()) {
        return;
    }
    const auto proxy = proxies_[next_++ % proxies_.size()];
    const auto content = body();
    auto request = std::ostringstream{};
    request << "POST /v1/targets HTTP/1.1\r\nHost: " << proxy
            << "\r\nContent-Type: application/json\r\nContent-Length: "
            << content.size() << "\r\nConnection: close\r\n\r\n"
            << content;
    const auto one =
        std::make_shared<exchange>(server_.context(), request.str());
    one->timer.expires_after(exchange_time);
    one->timer.async_wait([one](error_code failure) {
        if (!failure) {
            auto closed = error_code{};
            one->socket.close(closed);
        }
    });
    one->socket.async_connect(proxy, [one](error_code failure) {
        if (failure) {
            one->timer.cancel();
            return;
        }
        asio::async_write(
            one->socket, asio::buffer(one->request),
            [one](error_code, std::size_t) {
                asio::async_read(
                    one->socket, asio::dynamic_buffer(one->response, 4096),
                    [one](error_code, std::size_t) { one->timer.cancel(); });
            });
    });
}

} // namespace rhubarbrun::bench
