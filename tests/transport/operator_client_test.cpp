#include <rhubarbrun/transport/control_settings.hpp>
#include <rhubarbrun/transport/json.hpp>
#include <rhubarbrun/transport/operator_client.hpp>

#include "control_cluster.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace rhubarbrun;
using namespace rhubarbrun::test;

namespace {

/// Runs rhubarbctl against answers that the test gives.
class operator_session
{
public:
    operator_session()
        : file((std::filesystem::temp_directory_path() /
                ("rhubarbrun-bundle-" + std::to_string(random_number())))
                   .string())
    {
    }
    ~operator_session() { std::filesystem::remove(file); }

    auto write(const std::string& text) -> void
    {
        std::ofstream(file, std::ios::trunc) << text;
    }

    auto run(std::vector<std::string> words) -> int
    {
        out.str("");
        errors.str("");
        sent.clear();
        words.insert(words.begin(), "--output=text");
        return run_operator_client(
            {words,
             {"RHUBARBRUN_CONTROL=127.0.0.1:1,127.0.0.1:2",
              "RHUBARBRUN_TOKEN=secret"}},
            {out, errors,
             [this](const asio::ip::tcp::endpoint& endpoint,
                    const http_request& request) {
                 sent.push_back(request);
                 return answer(endpoint.port());
             }});
    }

    static auto respond(unsigned status, const std::string& body) -> http_result
    {
        auto response = http_response{};
        response.status = status;
        response.body = body;
        return {response, "", true};
    }

    std::string file;
    std::ostringstream out;
    std::ostringstream errors;
    std::vector<http_request> sent;
    std::function<http_result(int)> answer = [](int) {
        return respond(200, R"({"version":1,"digest":"d","index":4})");
    };
};

} // namespace

TEST_CASE("rhubarbctl asks the next member if one does not answer")
{
    auto session = operator_session();
    session.answer = [](int port) {
        return port == 1 ? http_result{std::nullopt, "connect: refused", false}
                         : operator_session::respond(200, "{\"version\":3}");
    };
    CHECK(session.run({"status"}) == 0);
    CHECK(session.sent.size() == 2);
    CHECK(session.out.str().starts_with("version 3\n"));
    session.answer = [](int) {
        return operator_session::respond(503, R"({"error":"no leader"})");
    };
    CHECK(session.run({"roll", "1", "d"}) == 3);
    CHECK(session.errors.str().find("no leader") != std::string::npos);
}

TEST_CASE("rhubarbctl sends the digest and the token with each command")
{
    auto session = operator_session();
    session.write(bundle_text(1));
    CHECK(session.run({"propose", session.file}) == 0);
    const auto& request = session.sent.front();
    CHECK(request.header("authorization") == "Bearer secret");
    const auto body = parse_json(request.body);
    REQUIRE(body);
    CHECK((*body)["digest"].text() == digest_of_text(bundle_text(1)));
    CHECK((*body)["bundle"].text() == bundle_text(1));
    CHECK(session.run({"approve", "1", "d"}) == 0);
    CHECK(session.sent.front().path == "/v1/bundles/1/approve");
}

TEST_CASE("rhubarbctl tells outcomes apart by its exit code")
{
    auto session = operator_session();
    const auto status = [&](unsigned code) {
        session.answer = [code](int) {
            return operator_session::respond(
                code, R"({"error":"e","version":1,"digest":"w",)"
                      R"("proposer":"bo"})");
        };
        return session.run({"roll", "1", "d"});
    };
    CHECK(status(200) == 0);
    CHECK(status(409) == 1);
    CHECK(session.errors.str().find("digest w, proposed by bo") !=
          std::string::npos);
    CHECK(status(400) == 2);
    CHECK(status(401) == 4);
    CHECK(session.run({"roll", "x", "d"}) == 2);
    CHECK(session.run({"unknown"}) == 2);
    CHECK(session.run({}) == 2);
    session.write("version = 0\n");
    CHECK(session.run({"propose", session.file}) == 2);
    CHECK(session.sent.empty());
}

TEST_CASE("rhubarbctl diff prints the lines that differ")
{
    auto session = operator_session();
    session.write(bundle_text(2, 4));
    const auto former = canonical_text(*parse_bundle(bundle_text(1, 3)).value);
    session.answer = [&](int) {
        return operator_session::respond(
            200, json_value(json_value::object{{"bundle", former}}).print());
    };
    CHECK(session.run({"diff", "1", session.file}) == 5);
    CHECK(session.out.str() == "-version = 1\n+version = 2\n"
                               "-slots = 3\n+slots = 4\n");
    CHECK(session.run({"diff", session.file, session.file}) == 0);
    CHECK(session.out.str().empty());
}

TEST_CASE("rhubarbctl talks to a control group")
{
    auto cluster = control_cluster();
    (void)cluster.request(1, "GET", "/v1/dump", {}, {},
                          [](const json_value& dump) {
                              return dump["operators"].elements().size() == 2;
                          });
    auto session = operator_session();
    session.write(bundle_text(1));
    const auto run = [&](const std::string& who,
                         const std::vector<std::string>& words) {
        auto all = words;
        auto text = std::ostringstream{};
        text << cluster.members[1]->node->http_endpoint();
        all.insert(all.begin(), {"--control", text.str(), "--token",
                                 "token of " + who, "--output=json"});
        session.out.str("");
        return run_operator_client({all, {}},
                                   {session.out, session.errors, {}});
    };
    const auto digest = digest_of_text(bundle_text(1));
    CHECK(run("ada", {"propose", session.file}) == 0);
    CHECK(run("ada", {"approve", "1", digest}) == 1);
    CHECK(run("bo", {"approve", "1", digest}) == 0);
    CHECK(run("eve", {"roll", "1", digest}) == 4);
    CHECK(run("ada", {"roll", "1", digest}) == 0);
    CHECK(run("ada", {"status"}) == 0);
    const auto status = parse_json(session.out.str());
    REQUIRE(status);
    CHECK((*status)["version"].number() == 1);
    CHECK(run("ada", {"log"}) == 0);
    CHECK(run("ada", {"diff", "1", session.file}) == 0);
    CHECK(run("ada", {"dump"}) == 0);
}

TEST_CASE("a file with the first operators is checked")
{
    CHECK_THROWS_AS((void)parse_first_operators("[[operators]]\nid = \"a\""),
                    settings_error);
    const auto hash = std::string(64, 'a');
    const auto entry = [&](const std::string& name) {
        return "[[operators]]\nid = \"" + name + "\"\ntoken_sha256 = \"" +
               hash + "\"\n";
    };
    CHECK(parse_first_operators(entry("ada") + entry("bo")).size() == 2);
    for (const auto& wrong :
         {entry("ada"), entry("ada") + entry("ada"),
          entry("ada") + entry("bo") + "[other]\n",
          std::string("operators = 3"), std::string("[[operators")})
    {
        CHECK_THROWS_AS((void)parse_first_operators(wrong), settings_error);
    }
}
