#include <rhubarbrun/transport/settings.hpp>

#include <absl/flags/flag.h>
#include <doctest/doctest.h>

#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

ABSL_FLAG(std::uint32_t, test_count, 5, "A count");
ABSL_FLAG(std::string, test_text, "text", "A text");
ABSL_FLAG(bool, test_switch, false, "A switch");

using namespace rhubarbrun;

namespace {

auto test_settings() -> std::vector<setting>
{
    return {{"test_count", "count", setting_check::between(1, 9)},
            {"test_text", "name", setting_check::name},
            {"test_switch", "true or false", {}}};
}

auto read(std::vector<std::string> arguments,
          std::vector<std::string> environment = {}) -> settings_outcome
{
    return read_settings(test_settings(),
                         {std::move(arguments), std::move(environment)});
}

} // namespace

TEST_CASE("a flag wins over its environment variable")
{
    CHECK(read({}, {"RHUBARBRUN_TEST_COUNT=7", "HOME=/"}).faults.empty());
    CHECK(absl::GetFlag(FLAGS_test_count) == 7);
    const auto outcome = read({"--test_count", "8", "--test_switch", "word"},
                              {"RHUBARBRUN_TEST_COUNT=x"});
    CHECK(outcome.faults.empty());
    CHECK(outcome.words == std::vector<std::string>{"word"});
    CHECK(absl::GetFlag(FLAGS_test_count) == 8);
    CHECK(absl::GetFlag(FLAGS_test_switch));
}

TEST_CASE("all faults are listed in one message, without values")
{
    const auto outcome =
        read({"--unknown=1", "--test_count=secret", "--test_text=a b"},
             {"RHUBARBRUN_TSET_COUNT=1"});
    const auto message = faults_message(outcome.faults);
    CHECK(outcome.faults.size() == 4);
    for (const auto* const part :
         {"--unknown", "--test_count", "--test_text", "RHUBARBRUN_TSET_COUNT"})
    {
        CHECK(message.find(part) != std::string::npos);
    }
    CHECK(message.find("secret") == std::string::npos);
    CHECK(read({"--test_count=10", "--test_text=ok"}).faults.size() == 1);
    CHECK(read({"--test_count=9", "--test_text"}).faults.size() == 1);
}

TEST_CASE("the help text shows unit, default and variable")
{
    CHECK(read({"--help"}).is_help_requested);
    const auto text = settings_help("usage", test_settings());
    CHECK(text.find("--test_count=<count>  (default 5, "
                    "RHUBARBRUN_TEST_COUNT)") != std::string::npos);
}

TEST_CASE("endpoints and member lists are parsed strictly")
{
    CHECK(parse_endpoint("127.0.0.1:80")->port() == 80);
    CHECK(parse_endpoint("[::1]:80")->address().is_v6());
    for (const auto* const wrong :
         {"", "host:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "::1:80",
          "[127.0.0.1]:80"})
    {
        CHECK_FALSE(parse_endpoint(wrong));
    }
    CHECK(parse_control_members("a=10.0.0.1:1,b=10.0.0.2:1")->size() == 2);
    for (const auto* const wrong :
         {"", "a=10.0.0.1:1,", "a=10.0.0.1:1,a=10.0.0.2:1", "a=10.0.0.1:0"})
    {
        CHECK_FALSE(parse_control_members(wrong));
    }
}

TEST_CASE("the deployment key file must be private and long enough")
{
    const auto path = (std::filesystem::temp_directory_path() /
                       ("rhubarbrun-key-" + std::to_string(::getpid())))
                          .string();
    std::ofstream(path) << std::string(32, 'k') << "\n";
    ::chmod(path.c_str(), 0644);
    CHECK_THROWS_AS((void)read_deployment_key(path), settings_error);
    ::chmod(path.c_str(), 0600);
    const auto key = read_deployment_key(path);
    CHECK(key.authenticate("x") ==
          secret_key::from_material(std::string(32, 'k')).authenticate("x"));
    std::ofstream(path) << "short";
    CHECK_THROWS_AS((void)read_deployment_key(path), settings_error);
    std::filesystem::remove(path);
    CHECK_THROWS_AS((void)read_deployment_key(path), settings_error);
}
