#include <rhubarbrun/protocol/frame.hpp>
#include <rhubarbrun/protocol/view_messages.hpp>

#include <doctest/doctest.h>

#include <random>
#include <string>

// A message that is damaged, cut or made up is refused, and never costs more
// memory than it has bytes.

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

constexpr auto rounds = 20'000;

auto damage(std::mt19937_64& random, std::string bytes) -> std::string
{
    for (auto left = 1 + random() % 4; left > 0 && !bytes.empty(); --left) {
        const auto at = random() % bytes.size();
        switch (random() % 4) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes[at] = static_cast<char>(0xff);
            break;
        case 2:
            bytes.resize(at);
            break;
        default:
            bytes.insert(at, 8, static_cast<char>(random()));
        }
    }
    return bytes;
}

template <class Message>
auto check_decoding(const Message& message) -> void
{
    auto random = std::mt19937_64(11);
    const auto whole = encode(message);
    REQUIRE(decode<Message>(whole));
    auto refused = 0;
    for (auto round = 0; round < rounds; ++round) {
        refused += decode<Message>(damage(random, whole)) ? 0 : 1;
    }
    CHECK(refused > 0);
}

} // namespace

TEST_CASE("malformed messages: views, announcements and positions")
{
    auto record = server_record{};
    record.id = target_id("i-1");
    record.group = group_id("g");
    record.address = "127.0.0.1:1";
    auto update = view_update{};
    update.configuration = "text";
    update.servers = {record, record};
    update.control_members = {{"127.0.0.1", "r"}};
    update.positions = {{group_id("g"), {term(1), log_offset(2)}, 3}};
    update.detours = {{target_id("i-1"), {"127.0.0.2"}}};
    check_decoding(update);
    auto request = view_request{};
    request.report = {"127.0.0.2", {{target_id("i-1"), 3, -1}}};
    check_decoding(request);
    check_decoding(server_announcements{{record}});
    check_decoding(proxy_census{3, "r", {"127.0.0.1"}, update.detours});
    check_decoding(view_subscription{{group_id("g")}, 7});
    check_decoding(position_request{1, {group_id("g")}});
    check_decoding(position_update{1, update.positions});
    check_decoding(server_changes{"packed"});
    check_decoding(configuration_delta{1, 2, "delta"});
}

TEST_CASE("malformed messages: frames")
{
    const auto key = secret_key::from_material(std::string(32, 'k'));
    auto random = std::mt19937_64(12);
    auto refused = 0;
    for (auto round = 0; round < rounds; ++round) {
        auto writer = frame_writer(key, 3);
        const auto bytes = writer.write(message_type::view_request, "payload") +
                           writer.write(message_type::heartbeat, "");
        auto reader = frame_reader(key, 3);
        reader.append(damage(random, bytes));
        auto read = 0;
        while (reader.next()) {
            ++read;
        }
        refused += reader.fault() != frame_fault::none ? 1 : 0;
        CHECK(read <= 2);
    }
    CHECK(refused > 0);
}

} // namespace rhubarbrun_tests
