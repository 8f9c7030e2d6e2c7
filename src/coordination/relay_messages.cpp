#include <rhubarbrun/coordination/relay_messages.hpp>

namespace rhubarbrun::inline v1 {

auto to_string(relay_error error) noexcept -> std::string_view
{
    switch (error) {
    case relay_error::none:
        return "none";
    case relay_error::retry:
        return "retry";
    case relay_error::aborted:
        return "aborted";
    case relay_error::lagging:
        return "lagging";
    case relay_error::read_only:
        return "read_only";
    case relay_error::wrong_server:
        return "wrong_server";
    case relay_error::connection_limit:
        return "connection_limit";
    case relay_error::in_doubt:
        return "in_doubt";
    case relay_error::timeout:
        return "timeout";
    case relay_error::failed:
        return "failed";
    case relay_error::unknown_name:
        return "unknown_name";
    case relay_error::no_database:
        return "no_database";
    case relay_error::denied:
        return "denied";
    case relay_error::malformed:
        return "malformed";
    case relay_error::other:
        return "other";
    }
    return "unknown";
}

} // namespace rhubarbrun::inline v1
