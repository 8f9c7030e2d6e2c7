#include <rhubarbrun/transport/server_cache.hpp>

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <system_error>

namespace rhubarbrun::test {

namespace {

/// A directory that is removed at the end.
struct temporary_directory
{
    std::filesystem::path path =
        std::filesystem::temp_directory_path() / "rhubarbrun_server_cache";

    temporary_directory() { std::filesystem::remove_all(path); }
    temporary_directory(const temporary_directory&) = delete;
    auto operator=(const temporary_directory&) -> temporary_directory& = delete;
    ~temporary_directory() { std::filesystem::remove_all(path); }
};

auto record(const std::string& name) -> server_record
{
    auto made = server_record{};
    made.id = target_id(name);
    made.address = "127.0.0.1:1";
    return made;
}

} // namespace

TEST_CASE("server cache: records outlast the process, damage does not matter")
{
    const auto directory = temporary_directory();
    const auto file = directory.path / "view" / "servers";
    auto cache = server_cache(file);
    CHECK(cache.load().empty());
    CHECK(cache.save({record("a")}));
    CHECK(cache.save({record("a"), record("b")}));
    REQUIRE(server_cache(file).load().size() == 2);
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - 1);
    CHECK(cache.load().empty());
}

// Guards against machines that end again and again on what they saved.
TEST_CASE("server cache: a record that cannot name a server is left out")
{
    const auto directory = temporary_directory();
    auto cache = server_cache(directory.path / "view" / "servers");
    auto odd = record("b");
    odd.address = "127.0.0.1:65536";
    CHECK(cache.save({record("a"), odd, record("c")}));
    CHECK(cache.load().size() == 2);
}

TEST_CASE("server cache: a full disk keeps the former file and harms nothing")
{
    const auto directory = temporary_directory();
    const auto file = directory.path / "view" / "servers";
    REQUIRE(server_cache(file).save({record("a")}));
    auto hooks = system_file_hooks();
    hooks.write = [](int, std::string_view) {
        throw std::system_error(ENOSPC, std::generic_category());
    };
    auto cache = server_cache(file, hooks);
    CHECK_FALSE(cache.save({record("a"), record("b")}));
    CHECK(cache.load().size() == 1);
    INFO("what was not saved is saved once there is room");
    cache = server_cache(file);
    CHECK(cache.save({record("a"), record("b")}));
    CHECK(cache.load().size() == 2);
}

} // namespace rhubarbrun::test
