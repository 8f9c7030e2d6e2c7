#include <rhubarbrun/protocol/internal_messages.hpp>
#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/transport/datagrams.hpp>

#include "control_cluster.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <optional>
#include <system_error>
#include <thread>

using namespace rhubarbrun;
using namespace rhubarbrun::test;

namespace {

/// A proxy's link to control, with what it received last of each type.
class fake_proxy
{
public:
    explicit fake_proxy(const char* name)
        : identity{proxy_id(name), incarnation(7)},
          links(pool.context(), cluster_key(),
                {{peer_role::proxy, name}, identity.run},
                {[this](const link_info& link) {
                     leases.add(link);
                     seen.change([&] { up = link; });
                 },
                 [this](const link_info&, message_type type,
                        const std::string& payload) {
                     seen.change([&] {
                         received[type] = payload;
                         if (type == message_type::directory_delta) {
                             (void)copy.apply(
                                 *decode<directory_delta>(payload));
                         }
                     });
                 },
                 [this](const link_info& link, std::string_view) {
                     leases.remove(link);
                     seen.change([&] { up.reset(); });
                 }}),
          leases(pool.context(), [this](const link_info&,
                                        const asio::ip::udp::endpoint&,
                                        message_type,
                                        const std::string& payload) {
              seen.change([&] { granted = decode<lease_answer>(payload); });
          })
    {
        (void)leases.open(any_port<asio::ip::udp>());
    }

    ~fake_proxy()
    {
        links.stop();
        leases.stop();
        pool.stop();
    }

    auto connect(const control_address& member) -> void
    {
        links.connect({peer_role::control, member.id.value()}, member.peer);
        REQUIRE(seen.wait([&] { return up.has_value(); }));
    }

    template <class Message>
    auto send(message_type type, const Message& message) -> void
    {
        CHECK(links.send(up->id, type, encode(message)));
    }

    template <class Message>
    auto wait(message_type type) -> Message
    {
        REQUIRE(seen.wait([&] { return received.contains(type); }));
        auto result = std::optional<Message>();
        seen.change([&] {
            result = decode<Message>(received[type]);
            received.erase(type);
        });
        REQUIRE(result);
        return *result;
    }

    /// Sends a request and returns the answer to it. A lease that is held is
    /// renewed, so that a slow answer does not end it.
    template <class Message>
    auto ask(message_type type, const Message& message) -> command_answer
    {
        if (holds_lease) {
            renew();
        }
        send(type, message);
        auto answer = wait<command_answer>(message_type::command_answer);
        CHECK(answer.request == message.request);
        return answer;
    }

    auto renew() -> void
    {
        send(message_type::renew_lease,
             lease_request{identity, 1, log_index()});
        (void)wait<lease_answer>(message_type::lease_grant);
    }

    /// Renews the lease until `condition` holds.
    auto hold_lease_until(const std::function<bool()>& condition) -> bool
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        auto is_met = false;
        while (!is_met && std::chrono::steady_clock::now() < end) {
            renew();
            is_met = seen.get(condition);
            // Pause between two renewals, below the lease of 1.5 s.
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        holds_lease = true;
        return is_met;
    }

    /// Reports one target of group g1 in the name of `reporter`.
    auto report(const proxy_identity& reporter, const char* target) -> void
    {
        auto heard = reported_target{};
        heard.id = target_id(target);
        heard.description = target_description{
            heard.id, group_id("g1"), "127.0.0.1", 1, zone_id("z1"), 3, 10};
        send(message_type::target_report,
             announcement_report{reporter, {heard}});
    }

    [[nodiscard]] auto registration() const -> register_proxy
    {
        auto message = register_proxy{};
        message.request = 5;
        message.proxy.identity = identity;
        message.proxy.address = "127.0.0.1";
        message.proxy.http_address = "127.0.0.1";
        message.proxy.tcp_port = 1;
        message.proxy.udp_port = 1;
        message.proxy.http_port = 1;
        message.proxy.zone = zone_id("z1");
        return message;
    }

    watched seen;
    std::optional<link_info> up;
    std::map<message_type, std::string> received;
    std::optional<lease_answer> granted;
    bool holds_lease = false;
    directory copy;
    proxy_identity identity;
    worker_pool pool{1};
    peer_links links;
    datagrams leases;
};

} // namespace

TEST_CASE("a bundle survives the stop of the leader and a restart")
{
    auto cluster = control_cluster();
    const auto digest = cluster.put_in_force(0, 1);
    const auto leader = cluster.leader(0);
    const auto other = (leader + 1) % control_cluster::size;
    const auto start = std::chrono::steady_clock::now();
    cluster.stop(leader);
    const auto has_bundle = [&](const json_value& status) {
        return status["version"].number() == 1 &&
               status["digest"].text() == digest;
    };
    const auto status =
        cluster.request(other, "GET", "/v1/status", {}, {}, has_bundle).second;
    CHECK(status["member"]["name"].text() !=
          control_cluster::name_of(leader).value());
    MESSAGE("another leader answered after ",
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - start)
                .count(),
            " ms");
    cluster.put_in_force(other, 2);

    cluster.restart(leader);
    (void)cluster.request(leader, "GET", "/v1/dump", {}, {},
                          [](const json_value& dump) {
                              return dump["status"]["version"].number() == 2;
                          });
    const auto log = cluster.request(leader, "GET", "/v1/log").second;
    REQUIRE(log["bundles"].elements().size() == 2);
    CHECK(log["bundles"].elements()[0]["stage"].text() == "rolled");
    CHECK(log["bundles"].elements()[0]["approver"].text() == "bo");
}

TEST_CASE("of two bundles with one version one wins and the other is told")
{
    auto cluster = control_cluster();
    const auto first = bundle_text(1, 3);
    const auto second = bundle_text(1, 4);
    auto results = std::vector<std::pair<unsigned, json_value>>(2);
    auto rival =
        std::thread([&] { results[1] = cluster.propose(1, "bo", second); });
    results[0] = cluster.propose(0, "ada", first);
    rival.join();
    const auto winner = results[0].first == 200 ? 0U : 1U;
    const auto& lost = results[1 - winner];
    CHECK(results[winner].first == 200);
    CHECK(lost.first == 409);
    CHECK(lost.second["digest"].text() ==
          digest_of_text(winner == 0 ? first : second));
    CHECK(lost.second["proposer"].text() == (winner == 0 ? "ada" : "bo"));
}

TEST_CASE("resent requests get the same answer, wrong ones a reason")
{
    auto cluster = control_cluster();
    const auto text = bundle_text(1);
    const auto digest = digest_of_text(text);
    const auto proposed = cluster.propose(0, "ada", text);
    CHECK(proposed.first == 200);
    const auto again = cluster.propose(1, "ada", text);
    CHECK(again.first == 200);
    CHECK(again.second["index"].number() == proposed.second["index"].number());

    CHECK(cluster.propose(0, "eve", text).first == 401);
    CHECK(cluster.act(0, "ada", 1, "approve", digest).first == 403);
    CHECK(cluster.act(0, "bo", 1, "approve", std::string(64, '0')).first ==
          409);
    CHECK(cluster.act(0, "ada", 1, "roll", digest).first == 409);
    CHECK(cluster.act(0, "bo", 1, "approve", digest).first == 200);
    const auto rolled = cluster.act(0, "ada", 1, "roll", digest);
    CHECK(rolled.first == 200);
    CHECK(cluster.act(2, "ada", 1, "roll", digest).second["index"].number() ==
          rolled.second["index"].number());
    CHECK(cluster.request(0, "POST", "/v1/bundles", "ada").first == 400);
    CHECK(cluster.request(0, "GET", "/v1/bundles/9").first == 404);
}

TEST_CASE("a proxy registers, follows the directory and holds a lease")
{
    auto cluster = control_cluster();
    cluster.put_in_force(0, 1);
    const auto leader = cluster.leader(0);
    auto astray = fake_proxy("p2");
    astray.connect(cluster.addresses()[(leader + 1) % control_cluster::size]);
    astray.send(message_type::register_proxy, astray.registration());
    const auto pointer = astray.wait<redirect>(message_type::redirect);
    CHECK(pointer.request == 5);
    CHECK(pointer.leader == control_cluster::name_of(leader));

    auto proxy = fake_proxy("p1");
    proxy.connect(cluster.addresses()[leader]);
    proxy.send(message_type::register_proxy, proxy.registration());
    const auto answer = proxy.wait<registered>(message_type::registered);
    CHECK(answer.request == 5);
    REQUIRE(proxy.seen.wait([&] {
        return proxy.copy.bundle() &&
               proxy.copy.find_proxy(proxy.identity.id) != nullptr;
    }));

    const auto ask = [&] {
        return lease_request{proxy.identity, 77, proxy.copy.index()};
    };
    CHECK(proxy.leases.send(proxy.up->id,
                            {asio::ip::address_v4::loopback(), answer.udp_port},
                            message_type::renew_lease, encode(ask())));
    REQUIRE(proxy.seen.wait([&] { return proxy.granted.has_value(); }));
    CHECK(proxy.granted->status == lease_status::granted);
    CHECK(proxy.granted->sent_at_us == 77);
    proxy.send(message_type::renew_lease, ask());
    CHECK(proxy.wait<lease_answer>(message_type::lease_grant).status ==
          lease_status::granted);

    // Commits are pushed, and status names the version at the VM.
    cluster.put_in_force(0, 2);
    REQUIRE(proxy.seen.wait(
        [&] { return proxy.copy.bundle()->version == bundle_version(2); }));
    proxy.send(message_type::renew_lease, ask());
    (void)cluster.request(
        0, "GET", "/v1/status", {}, {}, [](const json_value& status) {
            const auto& vms = status["vms"].elements();
            return vms.size() == 1 && vms[0]["name"].text() == "p1" &&
                   vms[0]["version"].number() == 2;
        });

    // A proxy may speak for itself only.
    proxy.send(message_type::drain_proxy,
               drain_proxy{6, {proxy_id("p9"), incarnation(1)}});
    CHECK(proxy.wait<command_answer>(message_type::command_answer).outcome ==
          command_outcome::forbidden);
    proxy.send(message_type::drain_proxy, drain_proxy{7, proxy.identity});
    const auto drained =
        proxy.wait<command_answer>(message_type::command_answer);
    CHECK(drained.outcome == command_outcome::applied);
    CHECK(drained.result.is_ok());
    REQUIRE(proxy.seen.wait(
        [&] { return proxy.copy.find_proxy(proxy.identity.id)->is_draining; }));
}

TEST_CASE("a member whose disk fails stops and says why")
{
    auto cluster = control_cluster();
    (void)cluster.leader(0);
    cluster.stop(2);
    auto is_broken = std::make_shared<std::atomic<bool>>(false);
    cluster.files.sync = [is_broken, sync = cluster.files.sync](int file) {
        if (*is_broken) {
            throw std::system_error(
                std::make_error_code(std::errc::no_space_on_device));
        }
        sync(file);
    };
    cluster.restart(2);
    (void)cluster.leader(2);
    *is_broken = true;
    CHECK(cluster.propose(0, "ada", bundle_text(1)).first == 200);
    auto& member = *cluster.members[2];
    CHECK(member.seen.wait([&] { return !member.failure.empty(); }));
    // The others go on.
    CHECK(cluster.act(0, "bo", 1, "approve", digest_of_text(bundle_text(1)))
              .first == 200);
}

TEST_CASE("a member that missed the log up to a snapshot catches up")
{
    auto cluster = control_cluster(3);
    (void)cluster.leader(0);
    cluster.stop(2);
    for (auto version = 1; version <= 4; ++version) {
        cluster.put_in_force(0, version);
    }
    std::filesystem::remove_all(cluster.directory(2));
    cluster.restart(2);
    (void)cluster.request(2, "GET", "/v1/dump", {}, {},
                          [](const json_value& dump) {
                              return dump["status"]["version"].number() == 4;
                          });
    const auto metrics = cluster.ask(2, "GET", "/v1/metrics");
    REQUIRE(metrics.response);
    CHECK(metrics.response->body.find("control_saves ") != std::string::npos);
}

// Guards against a leader that lets a proxy change what another one owns, or
// that takes a proposal that was resent or is outdated for a new one.
TEST_CASE("the leader checks reports, proposals and releases of proxies")
{
    auto cluster = control_cluster();
    cluster.put_in_force(0, 1);
    const auto leader = cluster.leader(0);
    auto owner = fake_proxy("p1");
    auto other = fake_proxy("p2");
    for (auto* const proxy : {&owner, &other}) {
        proxy->connect(cluster.addresses()[leader]);
        proxy->send(message_type::register_proxy, proxy->registration());
        (void)proxy->wait<registered>(message_type::registered);
    }

    // The answer to the second message shows that the first was handled.
    other.report(owner.identity, "t9");
    CHECK(other.ask(message_type::drain_proxy, drain_proxy{1, owner.identity})
              .outcome == command_outcome::forbidden);
    owner.report(owner.identity, "t1");
    const auto t1 = target_id("t1");
    REQUIRE(owner.hold_lease_until([&] {
        const auto* const record = owner.copy.find_target(t1);
        return record != nullptr && record->owner == owner.identity;
    }));
    CHECK(owner.seen.get(
        [&] { return owner.copy.find_target(target_id("t9")) == nullptr; }));
    const auto epoch = owner.copy.find_target(t1)->epoch;

    auto claim = propose_primary{};
    claim.request = 2;
    claim.command = {group_id("g1"), term(0), t1,
                     owner.identity, epoch,   term(4)};
    CHECK(other.ask(message_type::propose_primary, claim).outcome ==
          command_outcome::forbidden);
    auto foreign = claim;
    foreign.command.claimant = other.identity;
    CHECK(other.ask(message_type::propose_primary, foreign).result.status ==
          command_status::not_owner);
    const auto first = owner.ask(message_type::propose_primary, claim);
    CHECK(first.outcome == command_outcome::applied);
    CHECK(first.result.is_ok());
    CHECK(first.result.group_term == term(4));
    const auto again = owner.ask(message_type::propose_primary, claim);
    CHECK(again.outcome == command_outcome::applied);
    CHECK(again.result.is_ok());
    CHECK(again.result.group_term == first.result.group_term);
    CHECK(again.result.effective_at == first.result.effective_at);
    auto stale = claim;
    stale.command.expected_term = term(2);
    const auto refused = owner.ask(message_type::propose_primary, stale);
    CHECK(refused.result.status == command_status::stale_term);
    CHECK(refused.result.group_term == term(4));

    auto release = release_target{3, {t1, owner.identity, epoch}};
    CHECK(other.ask(message_type::release_target, release).outcome ==
          command_outcome::forbidden);
    auto taken = release;
    taken.command.owner = other.identity;
    CHECK(other.ask(message_type::release_target, taken).result.status ==
          command_status::not_owner);
    auto late = release;
    late.command.epoch = epoch.next();
    CHECK(owner.ask(message_type::release_target, late).result.status ==
          command_status::stale_epoch);
    CHECK(owner.ask(message_type::release_target, release).result.is_ok());
    // The release began another epoch, so it cannot count twice.
    CHECK(owner.ask(message_type::release_target, release).result.status ==
          command_status::stale_epoch);
}

// Guards against a follower that drops or answers what only the leader may.
TEST_CASE("a follower sends reports, proposals and releases to the leader")
{
    auto cluster = control_cluster();
    const auto leader = cluster.leader(0);
    auto proxy = fake_proxy("p1");
    proxy.connect(cluster.addresses()[(leader + 1) % control_cluster::size]);
    const auto check_redirect = [&](std::uint64_t request) {
        const auto pointer = proxy.wait<redirect>(message_type::redirect);
        CHECK(pointer.request == request);
        CHECK(pointer.leader == control_cluster::name_of(leader));
    };
    proxy.report(proxy.identity, "t1");
    check_redirect(0);
    auto claim = propose_primary{};
    claim.request = 2;
    claim.command.claimant = proxy.identity;
    proxy.send(message_type::propose_primary, claim);
    check_redirect(2);
    proxy.send(message_type::release_target,
               release_target{3, {target_id("t1"), proxy.identity, {}}});
    check_redirect(3);
}
