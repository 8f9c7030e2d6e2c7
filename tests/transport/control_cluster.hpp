#ifndef RHUBARBRUN_TESTS_TRANSPORT_CONTROL_CLUSTER_HPP
#define RHUBARBRUN_TESTS_TRANSPORT_CONTROL_CLUSTER_HPP

#include <rhubarbrun/state/bundle_parse.hpp>
#include <rhubarbrun/transport/control_node.hpp>
#include <rhubarbrun/transport/http_client.hpp>
#include <rhubarbrun/transport/json.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include "loopback.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace rhubarbrun::test {

inline auto cluster_key() -> secret_key
{
    return secret_key::from_material(std::string(32, 'c'));
}

/// A valid bundle; `slots` makes contents of one version differ.
inline auto bundle_text(int version, int slots = 3) -> std::string
{
    auto text = "version = " + std::to_string(version) + "\n";
    for (const auto* const name : {"ada", "bo"}) {
        text += "[[operators]]\nid = \"" + std::string(name) +
                "\"\ntoken_sha256 = \"" +
                hash_token("token of " + std::string(name)).value() + "\"\n";
    }
    return text + "[[groups]]\nid = \"g1\"\ndatabase = \"orders\"\n" +
           "[groups.limits]\nslots = " + std::to_string(slots) + "\n";
}

inline auto digest_of_text(const std::string& text) -> std::string
{
    const auto parsed = parse_bundle(text);
    REQUIRE(parsed);
    return digest_of(*parsed.value).value();
}

/// One member with its own threads and data directory.
struct cluster_member
{
    worker_pool pool{2};
    watched seen;
    std::string failure;
    std::unique_ptr<control_node> node;

    ~cluster_member()
    {
        if (node) {
            node->stop();
        }
        pool.stop();
    }
};

/// Three control members in one process, on loopback, with real files.
class control_cluster
{
public:
    static constexpr auto size = std::size_t{3};

    explicit control_cluster(std::size_t snapshot_entries = 1000)
        : root_(std::filesystem::temp_directory_path() /
                ("rhubarbrun-control-" + std::to_string(random_number()))),
          snapshot_entries_(snapshot_entries)
    {
        for (auto index = std::size_t{0}; index < size; ++index) {
            open(index, any_port());
            addresses_.push_back(
                {name_of(index), members[index]->node->peer_endpoint()});
        }
        for (auto& member : members) {
            member->node->start(addresses_);
        }
    }

    ~control_cluster()
    {
        for (auto& member : members) {
            member.reset();
        }
        std::filesystem::remove_all(root_);
    }

    auto stop(std::size_t index) -> void { members[index].reset(); }

    auto restart(std::size_t index) -> void
    {
        open(index, addresses_[index].peer);
        members[index]->node->start(addresses_);
    }

    /// One request to one member.
    auto ask(std::size_t index, const std::string& method,
             const std::string& path, const std::string& token = {},
             const json_value& body = {}) -> http_result
    {
        auto request = http_request{};
        request.method = method;
        request.path = path;
        request.body = method == "POST" ? body.print() : "";
        if (!token.empty()) {
            request.headers["authorization"] = "Bearer token of " + token;
        }
        return http_send_and_wait(members[index]->node->http_endpoint(),
                                  request);
    }

    /// Repeats the request until the answer is not 5xx, and for reads until
    /// `is_wanted` holds for it.
    auto request(std::size_t index, const std::string& method,
                 const std::string& path, const std::string& token = {},
                 const json_value& body = {},
                 const std::function<bool(const json_value&)>& is_wanted = {})
        -> std::pair<unsigned, json_value>
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < end) {
            const auto result = ask(index, method, path, token, body);
            if (!result.response || result.response->status >= 500) {
                continue;
            }
            const auto fields = parse_json(result.response->body);
            if (fields && (!is_wanted || is_wanted(*fields))) {
                return {result.response->status, *fields};
            }
        }
        throw std::runtime_error("no wanted answer to " + method + ' ' + path);
    }

    auto propose(std::size_t index, const std::string& who,
                 const std::string& text) -> std::pair<unsigned, json_value>
    {
        return request(index, "POST", "/v1/bundles", who,
                       json_value::object{{"digest", digest_of_text(text)},
                                          {"bundle", text}});
    }

    auto act(std::size_t index, const std::string& who, int version,
             const std::string& verb, const std::string& digest)
        -> std::pair<unsigned, json_value>
    {
        return request(index, "POST",
                       "/v1/bundles/" + std::to_string(version) + '/' + verb,
                       who, json_value::object{{"digest", digest}});
    }

    /// Proposes, approves and rolls.
    auto put_in_force(std::size_t index, int version) -> std::string
    {
        const auto text = bundle_text(version);
        const auto digest = digest_of_text(text);
        CHECK(propose(index, "ada", text).first == 200);
        CHECK(act(index, "bo", version, "approve", digest).first == 200);
        CHECK(act(index, "ada", version, "roll", digest).first == 200);
        return digest;
    }

    /// Waits for a leader that `asked` can reach; returns its index.
    auto leader(std::size_t asked) -> std::size_t
    {
        const auto status = request(asked, "GET", "/v1/status").second;
        const auto name = status["member"]["name"].text();
        return static_cast<std::size_t>(name.back() - '1');
    }

    std::vector<std::unique_ptr<cluster_member>> members{size};

    [[nodiscard]] static auto name_of(std::size_t index) -> member_id
    {
        return member_id("c" + std::to_string(index + 1));
    }

    [[nodiscard]] auto addresses() const -> const std::vector<control_address>&
    {
        return addresses_;
    }

    [[nodiscard]] auto directory(std::size_t index) const
        -> std::filesystem::path
    {
        return root_ / name_of(index).value();
    }

    /// Planted in the members that are opened from now on.
    file_hooks files = system_file_hooks();

private:
    auto open(std::size_t index, const asio::ip::tcp::endpoint& peer) -> void
    {
        auto options = control_node_options{name_of(index),
                                            directory(index),
                                            cluster_key(),
                                            peer,
                                            any_port(),
                                            {},
                                            snapshot_entries_,
                                            {},
                                            {},
                                            {},
                                            {},
                                            files};
        for (auto other = std::size_t{0}; other < size; ++other) {
            options.consensus.members.push_back(name_of(other));
        }
        options.consensus.is_founding = true;
        for (const auto* const name : {"ada", "bo"}) {
            options.first_operators.push_back(
                {operator_id(name),
                 hash_token("token of " + std::string(name))});
        }
        members[index] = std::make_unique<cluster_member>();
        auto& member = *members[index];
        member.node = std::make_unique<control_node>(
            member.pool.context(), options, [&](const std::string& reason) {
                member.seen.change([&] { member.failure = reason; });
            });
        member.node->listen();
    }

    std::filesystem::path root_;
    std::size_t snapshot_entries_;
    std::vector<control_address> addresses_;
};

} // namespace rhubarbrun::test

#endif
