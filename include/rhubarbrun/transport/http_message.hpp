#ifndef RHUBARBRUN_TRANSPORT_HTTP_MESSAGE_HPP
#define RHUBARBRUN_TRANSPORT_HTTP_MESSAGE_HPP

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace rhubarbrun::inline v1 {

/// One HTTP request. Header names are in lower case.
struct http_request
{
    std::string method = "GET";
    /// Path without the query.
    std::string path = "/";
    /// Text after the question mark, not decoded.
    std::string query;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Values of the `{name}` parts of the route; set by the server.
    std::map<std::string, std::string> parameters;

    /// Value of a header, or an empty text.
    [[nodiscard]] auto header(const std::string& name) const -> std::string
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/// One HTTP response. Header names are in lower case.
struct http_response
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::map<std::string, std::string> headers;
};

/// A response with status 200 and this body.
[[nodiscard]] inline auto http_success(std::string body = "{}") -> http_response
{
    auto response = http_response{};
    response.body = std::move(body);
    return response;
}

/// A response with `{"error":"<message>"}` as its body.
[[nodiscard]] auto http_error(unsigned status, std::string_view message)
    -> http_response;

} // namespace rhubarbrun::inline v1

#endif
