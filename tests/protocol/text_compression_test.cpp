#include <rhubarbrun/protocol/text_compression.hpp>

#include <doctest/doctest.h>

#include <random>
#include <stdexcept>
#include <string>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

TEST_CASE("text compression: texts are restored, and repetition shrinks")
{
    for (const auto& text :
         {std::string(), std::string("a"), std::string(100'000, 'x')})
    {
        CHECK(decompress_text(compress_text(text)) == text);
    }
    CHECK(compress_text(std::string(100'000, 'x')).size() < 1000);
}

TEST_CASE("text compression: damaged bytes are refused or restored")
{
    const auto packed = compress_text("a text that repeats, a text that");
    auto random = std::mt19937_64(4);
    for (auto round = 0; round < 2000; ++round) {
        auto bytes = packed;
        bytes[random() % bytes.size()] = static_cast<char>(random());
        try {
            static_cast<void>(decompress_text(bytes));
        } catch (const std::runtime_error&) {
            CHECK(true);
        }
    }
    CHECK_THROWS_AS(static_cast<void>(decompress_text({})), std::runtime_error);
}

} // namespace rhubarbrun_tests
