#include <rhubarbrun/transport/http_client.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <sstream>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// One request and its response; runs on its own strand.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    http_exchange(asio::io_context& context, http_request&& request,
                  std::function<void(http_result)> done,
                  http_client_limits limits)
        : stream_(asio::make_strand(context)),
          done_(std::move(done)),
          limits_(std::move(limits))
    {
        request_.version(11);
        request_.method_string(request.method);
        request_.target(request.query.empty()
                            ? request.path
                            : request.path + '?' + request.query);
        for (const auto& [name, value] : request.headers) {
            request_.set(name, value);
        }
        request_.keep_alive(false);
        request_.body() = std::move(request.body);
        request_.prepare_payload();
        parser_.body_limit(limits_.body_bytes);
    }

    auto start(const asio::ip::tcp::endpoint& endpoint) -> void
    {
        auto host = std::ostringstream{};
        host << endpoint;
        request_.set(http::field::host, host.str());
        stream_.expires_after(limits_.total);
        stream_.async_connect(
            endpoint, [self = shared_from_this()](error_code error) {
                if (error) {
                    self->finish("connect: " + error.message());
                } else if (self->limits_.may_send && !self->limits_.may_send())
                {
                    self->finish("not allowed any more");
                } else {
                    self->send();
                }
            });
    }

private:
    auto send() -> void
    {
        may_have_been_sent_ = true;
        http::async_write(
            stream_, request_,
            [self = shared_from_this()](error_code error, std::size_t) {
                // A server that refuses a large body may answer before it has
                // read all of it, so the response is read in any case.
                self->receive(error);
            });
    }

    auto receive(error_code written) -> void
    {
        http::async_read(stream_, buffer_, parser_,
                         [self = shared_from_this(), written](error_code error,
                                                              std::size_t) {
                             if (error) {
                                 const auto cause = written ? written : error;
                                 self->finish("response: " + cause.message());
                             } else {
                                 self->finish({});
                             }
                         });
    }

    auto finish(std::string error) -> void
    {
        auto result = http_result{};
        result.may_have_been_sent = may_have_been_sent_;
        if (error.empty()) {
            auto message = parser_.release();
            auto response = http_response{};
            response.status = message.result_int();
            response.content_type =
                std::string(message[http::field::content_type]);
            for (const auto& field : message.base()) {
                auto name = std::string(field.name_string());
                for (auto& letter : name) {
                    if (letter >= 'A' && letter <= 'Z') {
                        letter = static_cast<char>(letter - 'A' + 'a');
                    }
                }
                response.headers[name] = std::string(field.value());
            }
            response.body = std::move(message.body());
            result.response = std::move(response);
        } else {
            result.error = std::move(error);
        }
        stream_.close();
        std::exchange(done_, nullptr)(std::move(result));
    }

    beast::tcp_stream stream_;
    std::function<void(http_result)> done_;
    http_client_limits limits_;
    http::request<http::string_body> request_;
    http::response_parser<http::string_body> parser_;
    beast::flat_buffer buffer_;
    bool may_have_been_sent_ = false;
};

} // namespace

auto http_send(asio::io_context& context,
               const asio::ip::tcp::endpoint& endpoint, http_request request,
               std::function<void(http_result)> done, http_client_limits limits)
    -> void
{
    std::make_shared<http_exchange>(context, std::move(request),
                                    std::move(done), std::move(limits))
        ->start(endpoint);
}

auto http_send_and_wait(const asio::ip::tcp::endpoint& endpoint,
                        http_request request, http_client_limits limits)
    -> http_result
{
    auto context = asio::io_context(1);
    auto result = http_result{};
    http_send(
        context, endpoint, std::move(request),
        [&](http_result received) { result = std::move(received); },
        std::move(limits));
    context.run();
    return result;
}

} // namespace rhubarbrun::inline v1
