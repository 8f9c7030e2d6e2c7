#include <rhubarbrun/transport/link_traffic.hpp>

#include <utility>

namespace rhubarbrun::inline v1 {

auto to_string(message_type type) -> std::string
{
    switch (type) {
    case message_type::heartbeat:
        return "heartbeat";
    case message_type::consensus:
        return "consensus";
    case message_type::server_announcements:
        return "server_announcements";
    case message_type::view_request:
        return "view_request";
    case message_type::view_update:
        return "view_update";
    case message_type::sighting_report:
        return "sighting_report";
    case message_type::proxy_census:
        return "proxy_census";
    case message_type::freshness_question:
        return "freshness_question";
    case message_type::freshness_answer:
        return "freshness_answer";
    case message_type::view_subscription:
        return "view_subscription";
    case message_type::position_request:
        return "position_request";
    case message_type::position_update:
        return "position_update";
    case message_type::server_changes:
        return "server_changes";
    case message_type::configuration_delta:
        return "configuration_delta";
    case message_type::allowance_report:
        return "allowance_report";
    case message_type::allowance_grant:
        return "allowance_grant";
    case message_type::allowance_reports:
        return "allowance_reports";
    case message_type::allowance_grants:
        return "allowance_grants";
    default:
        return std::to_string(static_cast<int>(type));
    }
}

auto link_traffic::print(std::string_view prefix) const -> std::string
{
    auto out = std::string();
    const auto add = [&](const counters& all, std::string_view direction) {
        for (auto type = std::size_t{0}; type < all.size(); ++type) {
            const auto messages = all[type].messages.load();
            if (messages == 0) {
                continue;
            }
            const auto labels =
                "{type=\"" + to_string(static_cast<message_type>(type)) +
                "\",direction=\"" + std::string(direction) + "\"} ";
            out += std::string(prefix) + "link_messages_total" + labels +
                   std::to_string(messages) + '\n';
            out += std::string(prefix) + "link_bytes_total" + labels +
                   std::to_string(all[type].bytes.load()) + '\n';
        }
    };
    add(sent_, "out");
    add(received_, "in");
    return out;
}

} // namespace rhubarbrun::inline v1
