#include <rhubarbrun/protocol/internal_messages.hpp>

#include <doctest/doctest.h>

#include <random>

using namespace rhubarbrun;

namespace {

auto sample_request() -> execute_request
{
    auto request = execute_request{};
    request.id = request_id(5);
    request.target = target_id("t1");
    request.body.text = "select 1";
    request.body.parameters = {std::nullopt, "value"};
    request.body.parameter_formats = {0, 1};
    request.floor = log_position{term(3), log_offset(9)};
    return request;
}

auto sample_report() -> announcement_report
{
    auto target = target_description{};
    target.id = target_id("t1");
    target.group = group_id("g1");
    target.address = "10.0.0.1";
    target.port = 5432;
    const auto reporter = proxy_identity{proxy_id("p1"), incarnation(2)};
    return {reporter,
            {{target.id, 20, false, target},
             {target_id("t2"), 0, true, std::nullopt}}};
}

auto sample_append() -> consensus_message
{
    auto entry = log_entry{log_index(4), election_term(2), entry_kind::command,
                           "command", std::nullopt};
    auto message = consensus_message{};
    message.body = append_request{
        log_index(3), election_term(1), log_index(2), {entry, entry}};
    return message;
}

} // namespace

TEST_CASE("messages keep their content")
{
    const auto request = decode<execute_request>(encode(sample_request()));
    REQUIRE(request);
    CHECK(request->body.text == "select 1");
    CHECK(request->body.parameters == sample_request().body.parameters);
    CHECK(request->floor == sample_request().floor);

    const auto report = decode<announcement_report>(encode(sample_report()));
    REQUIRE(report);
    REQUIRE(report->targets.size() == 2);
    CHECK(report->targets[0].description->port == 5432);
    CHECK(report->targets[1].is_leaving);

    const auto append = decode<consensus_message>(encode(sample_append()));
    REQUIRE(append);
    CHECK(std::get<append_request>(append->body).entries.size() == 2);
}

TEST_CASE("truncated messages and trailing bytes are refused")
{
    const auto bytes = encode(sample_request());
    for (auto size = std::size_t{0}; size < bytes.size(); ++size) {
        CHECK_FALSE(decode<execute_request>(bytes.substr(0, size)));
    }
    CHECK_FALSE(decode<execute_request>(bytes + '\0'));
    const auto key = encode(forward_cancel{1, 2});
    CHECK(decode<forward_cancel>(key)->secret == 2);
    CHECK_FALSE(decode<forward_cancel>(key.substr(1)));
    CHECK_FALSE(decode<forward_cancel>(key + '\0'));
}

TEST_CASE("values outside an enumeration are refused")
{
    auto request = sample_request();
    request.hinted_class = static_cast<work_class>(9);
    CHECK_FALSE(decode<execute_request>(encode(request)));
    auto reply = execute_reply{};
    reply.status = static_cast<transaction_status>(0);
    CHECK_FALSE(decode<execute_reply>(encode(reply)));
    auto answer = command_answer{};
    answer.outcome = static_cast<command_outcome>(200);
    CHECK_FALSE(decode<command_answer>(encode(answer)));
}

TEST_CASE("a container size beyond the input is refused before allocation")
{
    // Guards against a four-byte size that makes the decoder allocate 4 GiB.
    auto report =
        encode(announcement_report{{proxy_id("p"), incarnation(1)}, {}});
    report.replace(report.size() - 4, 4, "\xff\xff\xff\xff");
    CHECK_FALSE(decode<announcement_report>(report));
    CHECK_FALSE(decode<std::string>("\xff\xff\xff\x7f"));
    CHECK_FALSE(decode<std::vector<std::uint64_t>>("\x08\0\0\0--------"));
}

TEST_CASE("decoding mutated messages neither throws nor crashes")
{
    auto random = std::mt19937(24);
    const auto samples = {encode(sample_request()), encode(sample_report()),
                          encode(sample_append())};
    for (const auto& sample : samples) {
        for (auto round = 0; round < 3000; ++round) {
            auto bytes = sample;
            for (auto changes = 1 + random() % 4; changes > 0; --changes) {
                bytes[random() % bytes.size()] = static_cast<char>(random());
            }
            bytes.resize(bytes.size() - random() % 3);
            (void)decode<execute_request>(bytes);
            (void)decode<announcement_report>(bytes);
            (void)decode<execute_reply>(bytes);
            (void)decode<propose_primary>(bytes);
            (void)decode<register_proxy>(bytes);
            (void)decode<consensus_message>(bytes);
            (void)decode<directory_delta>(bytes);
        }
    }
}

// Guards against a release that cannot be rolled out proxy by proxy.
TEST_CASE("a lease answer is understood by version 1 of the protocol")
{
    auto answer = lease_answer{};
    answer.proxy = {proxy_id("p1"), incarnation(2)};
    answer.status = lease_status::granted;
    answer.duration_us = 1'500'000;
    answer.live_others = 7;

    const auto now = decode_lease_answer(encode_lease_answer(answer, 2), 2);
    REQUIRE(now);
    CHECK(now->live_others == 7);

    const auto former = encode_lease_answer(answer, 1);
    CHECK(former.size() + 5 == encode(answer).size());
    const auto decoded = decode_lease_answer(former, 1);
    REQUIRE(decoded);
    CHECK(decoded->proxy == answer.proxy);
    CHECK(decoded->duration_us == answer.duration_us);
    CHECK_FALSE(decoded->live_others.has_value());
    CHECK_FALSE(decode_lease_answer(former, 2).has_value());
}
