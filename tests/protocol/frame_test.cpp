#include <rhubarbrun/protocol/frame.hpp>

#include <doctest/doctest.h>

#include <random>
#include <stdexcept>

using namespace rhubarbrun;

namespace {

auto key() -> secret_key
{
    return secret_key::from_material(std::string(32, 'k'));
}

} // namespace

TEST_CASE("frames arrive whole however the bytes are split")
{
    auto writer = frame_writer(key(), 1);
    auto bytes = std::string();
    for (auto index = 0; index < 20; ++index) {
        bytes +=
            writer.write(message_type::execute,
                         std::string(static_cast<std::size_t>(index), 'x'));
    }
    for (const auto step : {1U, 7U, 64U, 4096U}) {
        auto reader = frame_reader(key(), 1);
        auto count = std::size_t{0};
        for (auto at = std::size_t{0}; at < bytes.size(); at += step) {
            reader.append(std::string_view(bytes).substr(at, step));
            while (const auto received = reader.next()) {
                CHECK(received->payload.size() == count);
                CHECK(received->sequence == ++count);
            }
        }
        CHECK(count == 20);
    }
}

TEST_CASE("a frame under another key is refused")
{
    auto writer =
        frame_writer(secret_key::from_material(std::string(32, 'o')), 1);
    auto reader = frame_reader(key(), 1);
    reader.append(writer.write(message_type::cancel, "body"));
    CHECK_FALSE(reader.next());
    CHECK(reader.fault() == frame_fault::not_authentic);
}

TEST_CASE("a repeated, dropped or reordered frame is refused")
{
    auto writer = frame_writer(key(), 1);
    const auto first = writer.write(message_type::cancel, "1");
    const auto second = writer.write(message_type::cancel, "2");

    auto repeated = frame_reader(key(), 1);
    repeated.append(first + first);
    CHECK(repeated.next());
    CHECK_FALSE(repeated.next());
    CHECK(repeated.fault() == frame_fault::wrong_sequence);

    auto dropped = frame_reader(key(), 1);
    dropped.append(second);
    CHECK_FALSE(dropped.next());
    CHECK(dropped.fault() == frame_fault::wrong_sequence);
}

TEST_CASE("an announced length above the limit is refused at its header")
{
    auto reader = frame_reader(key(), 1, 100);
    reader.append(std::string("\xff\xff\xff\xff", 4));
    CHECK_FALSE(reader.next());
    CHECK(reader.fault() == frame_fault::bad_length);
    auto writer = frame_writer(key(), 1);
    CHECK_THROWS_AS(
        (void)writer.write(message_type::execute,
                           std::string(frame_layout::max_payload + 1, 'x')),
        std::length_error);
}

TEST_CASE("no mutation or truncation of a frame is accepted")
{
    auto random = std::mt19937(20);
    const auto bytes =
        frame_writer(key(), 1).write(message_type::execute, "some payload");
    for (auto round = 0; round < 2000; ++round) {
        auto changed = bytes;
        const auto at = random() % changed.size();
        changed[at] = static_cast<char>(
            changed[at] ^ static_cast<char>(1U + random() % 255U));
        auto reader = frame_reader(key(), 1);
        reader.append(changed);
        CHECK_FALSE(reader.next());
    }
    for (auto size = std::size_t{0}; size < bytes.size(); ++size) {
        auto reader = frame_reader(key(), 1);
        reader.append(bytes.substr(0, size));
        CHECK_FALSE(reader.next());
        CHECK(reader.fault() == frame_fault::none);
    }
}

TEST_CASE("random bytes never decode")
{
    auto random = std::mt19937(21);
    for (auto round = 0; round < 500; ++round) {
        auto bytes = std::string(random() % 200, '\0');
        for (auto& byte : bytes) {
            byte = static_cast<char>(random());
        }
        if (bytes.size() > 3) {
            bytes[0] = bytes[1] = bytes[2] = '\0';
        }
        auto reader = frame_reader(key(), 1);
        reader.append(bytes);
        CHECK_FALSE(reader.next());
    }
}
