#include "fault_relay.hpp"

#include <array>
#include <utility>

namespace rhubarbrun_soak {

namespace {

constexpr auto delay = std::chrono::milliseconds(120);
/// A silenced connection looks this often whether the fault is over.
constexpr auto silence_interval = std::chrono::milliseconds(20);

} // namespace

struct fault_relay::pipe
{
    asio::ip::tcp::socket from;
    asio::ip::tcp::socket to;
    relay_fault fault;

    auto close(bool is_reset) -> void
    {
        auto ignored = error_code();
        for (auto* each : {&from, &to}) {
            if (is_reset && each->is_open()) {
                each->set_option(asio::socket_base::linger(true, 0), ignored);
            }
            each->close(ignored);
        }
    }
};

fault_relay::fault_relay(asio::io_context& context,
                         asio::ip::tcp::endpoint listens_at,
                         asio::ip::tcp::endpoint target)
    : context_(context),
      acceptor_(context, listens_at),
      target_(std::move(target))
{
    accept();
}

fault_relay::~fault_relay()
{
    reset_all();
}

auto fault_relay::set(relay_fault fault, bool only_open) -> void
{
    for (const auto& each : pipes_) {
        if (const auto open = each.lock()) {
            open->fault = fault;
        }
    }
    for_new_ = only_open ? relay_fault::none : fault;
}

auto fault_relay::reset_all() -> void
{
    for (const auto& each : std::exchange(pipes_, {})) {
        if (const auto open = each.lock()) {
            open->close(true);
        }
    }
}

auto fault_relay::accept() -> void
{
    acceptor_.async_accept(
        [this](error_code error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            if (for_new_ != relay_fault::refusing) {
                asio::co_spawn(context_, connect(std::move(socket)),
                               asio::detached);
            }
            accept();
        });
}

auto fault_relay::connect(asio::ip::tcp::socket from) -> asio::awaitable<void>
{
    auto to = asio::ip::tcp::socket(context_);
    try {
        co_await to.async_connect(target_, asio::use_awaitable);
        from.set_option(asio::ip::tcp::no_delay(true));
        to.set_option(asio::ip::tcp::no_delay(true));
    } catch (const boost::system::system_error&) {
        // The target does not listen; closing `from` tells the other end.
        co_return;
    }
    std::erase_if(pipes_, [](const auto& each) { return each.expired(); });
    auto through =
        std::make_shared<pipe>(pipe{std::move(from), std::move(to), for_new_});
    pipes_.push_back(through);
    asio::co_spawn(context_, pump(through, true), asio::detached);
    asio::co_spawn(context_, pump(through, false), asio::detached);
}

auto fault_relay::pump(std::shared_ptr<pipe> through, bool is_forward)
    -> asio::awaitable<void>
{
    auto& source = is_forward ? through->from : through->to;
    auto& sink = is_forward ? through->to : through->from;
    auto timer = asio::steady_timer(context_);
    auto bytes = std::array<char, 4096>();
    const auto is_cut = [&] {
        return through->fault == relay_fault::silent ||
               (through->fault == relay_fault::one_way && !is_forward);
    };
    try {
        for (;;) {
            const auto size = co_await source.async_read_some(
                asio::buffer(bytes), asio::use_awaitable);
            if (through->fault == relay_fault::delayed) {
                timer.expires_after(delay);
                co_await timer.async_wait(asio::use_awaitable);
            }
            while (is_cut() && source.is_open()) {
                timer.expires_after(silence_interval);
                co_await timer.async_wait(asio::use_awaitable);
            }
            co_await asio::async_write(sink, asio::buffer(bytes.data(), size),
                                       asio::use_awaitable);
        }
    } catch (const boost::system::system_error&) {
        // An end closed; the other one is told below.
    }
    while (is_cut()) {
        timer.expires_after(silence_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    through->close(false);
}

} // namespace rhubarbrun_soak
