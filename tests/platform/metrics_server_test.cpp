#include "metrics_server.hpp"

#include <rhubarbrun/transport/http_client.hpp>

#include <doctest/doctest.h>

namespace rhubarbrun_tests {

using namespace rhubarbrun;
using namespace rhubarbrun::platform;

TEST_CASE("metrics server: it serves the text, and a taken port stops nothing")
{
    auto context = asio::io_context();
    auto taken = asio::ip::tcp::acceptor(
        context, {asio::ip::make_address("127.0.0.1"), 0});
    const auto port = taken.local_endpoint().port();
    const auto text = [] {
        return std::string("rhubarbrun_configuration_version 7\n");
    };
    metrics_server(context, text).start("127.0.0.1", port);
    taken.close();
    auto metrics = metrics_server(context, text);
    metrics.start("127.0.0.1", port);
    auto answer = std::string();
    auto request = http_request{};
    request.method = "GET";
    request.path = "/metrics";
    http_send(context, {asio::ip::make_address("127.0.0.1"), port}, request,
              [&](const http_result& result) {
                  REQUIRE(result.response);
                  answer = result.response->body;
                  context.stop();
              });
    context.run_for(std::chrono::seconds(10));
    CHECK(answer == "rhubarbrun_configuration_version 7\n");
    metrics.stop();
}

} // namespace rhubarbrun_tests
