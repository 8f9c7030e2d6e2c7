#include <rhubarbrun/transport/datagrams.hpp>

#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/ranked_mutex.hpp>

#include <array>
#include <exception>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace rhubarbrun::inline v1 {

using asio::ip::udp;

class datagrams::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context, datagram_hook hook)
        : socket_(asio::make_strand(context)), hook_(std::move(hook))
    {
    }

    auto open(const udp::endpoint& endpoint) -> udp::endpoint
    {
        socket_.open(endpoint.protocol());
        socket_.bind(endpoint);
        socket_.non_blocking(true);
        auto bound = socket_.local_endpoint();
        asio::post(socket_.get_executor(),
                   [self = shared_from_this()] { self->receive(); });
        return bound;
    }

    auto add(const link_info& link) -> void
    {
        const auto lock = std::lock_guard(mutex_);
        auto added = std::make_shared<entry>(link);
        channels_[link.datagrams.channel] = added;
        links_[link.id] = std::move(added);
    }

    auto remove(const link_info& link) -> void
    {
        const auto lock = std::lock_guard(mutex_);
        channels_.erase(link.datagrams.channel);
        links_.erase(link.id);
    }

    auto send(link_id link, const udp::endpoint& destination, message_type type,
              std::string_view payload) -> bool
    {
        if (payload.size() > datagram_layout::max_payload) {
            return false;
        }
        // The lock also guards the socket, which is not thread-safe.
        const auto lock = std::lock_guard(mutex_);
        const auto found = links_.find(link);
        if (found == links_.end() || is_stopped_) {
            return false;
        }
        const auto bytes = found->second->seal.seal(type, payload);
        auto error = error_code();
        socket_.send_to(asio::buffer(bytes), destination, 0, error);
        return !error;
    }

    auto stop() -> void
    {
        const auto lock = std::lock_guard(mutex_);
        is_stopped_ = true;
        auto ignored = error_code();
        socket_.close(ignored);
        channels_.clear();
        links_.clear();
    }

private:
    struct entry
    {
        explicit entry(const link_info& link) : info(link), seal(link.datagrams)
        {
        }

        link_info info;
        datagram_seal seal;
    };

    auto receive() -> void
    {
        const auto lock = std::lock_guard(mutex_);
        if (is_stopped_) {
            return;
        }
        socket_.async_receive_from(
            asio::buffer(buffer_), sender_,
            [self = shared_from_this()](error_code error, std::size_t size) {
                // Errors such as an unreachable sender concern one datagram.
                if (error == asio::error::operation_aborted) {
                    return;
                }
                if (!error) {
                    self->handle(std::string_view(self->buffer_.data(), size));
                }
                self->receive();
            });
    }

    auto handle(std::string_view bytes) -> void
    {
        const auto channel = datagram_channel(bytes);
        if (!channel) {
            return;
        }
        auto link = std::shared_ptr<entry>();
        auto received = std::optional<frame>();
        {
            const auto lock = std::lock_guard(mutex_);
            const auto found = channels_.find(*channel);
            if (found == channels_.end()) {
                return;
            }
            link = found->second;
            received = link->seal.open(bytes);
        }
        if (!received) {
            return;
        }
        try {
            hook_(link->info, sender_, received->type,
                  std::move(received->payload));
        } catch (const std::exception& fault) {
            log_event("datagram_handler_failed", event_severity::error)
                .field("peer", link->info.peer.who)
                .field("reason", fault.what());
        }
    }

    udp::socket socket_;
    datagram_hook hook_;
    /// One byte more than allowed, so that longer datagrams are seen as such.
    std::array<char, datagram_layout::max_size + 1> buffer_{};
    udp::endpoint sender_;
    /// Guards the members below and the socket.
    ranked_mutex mutex_{lock_rank::datagrams};
    bool is_stopped_ = false;
    std::unordered_map<std::uint64_t, std::shared_ptr<entry>> channels_;
    std::unordered_map<link_id, std::shared_ptr<entry>> links_;
};

datagrams::datagrams(asio::io_context& context, datagram_hook on_datagram)
    : implementation_(
          std::make_shared<implementation>(context, std::move(on_datagram)))
{
}

datagrams::~datagrams()
{
    stop();
}

auto datagrams::open(const udp::endpoint& endpoint) -> udp::endpoint
{
    return implementation_->open(endpoint);
}

auto datagrams::add(const link_info& link) -> void
{
    implementation_->add(link);
}

auto datagrams::remove(const link_info& link) -> void
{
    implementation_->remove(link);
}

auto datagrams::send(link_id link, const udp::endpoint& destination,
                     message_type type, std::string_view payload) -> bool
{
    return implementation_->send(link, destination, type, payload);
}

auto datagrams::stop() -> void
{
    implementation_->stop();
}

} // namespace rhubarbrun::inline v1
