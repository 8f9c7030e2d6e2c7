#include <rhubarbrun/transport/http_message.hpp>

#include <rhubarbrun/transport/json.hpp>

namespace rhubarbrun::inline v1 {

auto http_error(unsigned status, std::string_view message) -> http_response
{
    auto response = http_response{};
    response.status = status;
    response.body =
        json_value(json_value::object{{"error", json_value(message)}}).print() +
        '\n';
    return response;
}

} // namespace rhubarbrun::inline v1
