#ifndef RHUBARBRUN_TESTS_TRANSPORT_LOOPBACK_GROUP_HPP
#define RHUBARBRUN_TESTS_TRANSPORT_LOOPBACK_GROUP_HPP

#include <rhubarbrun/transport/configuration_node.hpp>
#include <rhubarbrun/transport/json.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <doctest/doctest.h>

#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

namespace rhubarbrun::test {

inline auto link_key() -> secret_key
{
    return secret_key::from_material(std::string(32, 'k'));
}

/// Control members on addresses of the loopback network, on one thread.
class loopback_group
{
public:
    loopback_group()
        : port_(free_port()),
          directory_(std::filesystem::temp_directory_path() /
                     ("rhubarbrun_group_" + std::to_string(port_)))
    {
        std::filesystem::remove_all(directory_);
    }
    loopback_group(const loopback_group&) = delete;
    auto operator=(const loopback_group&) -> loopback_group& = delete;
    ~loopback_group()
    {
        nodes_.clear();
        std::filesystem::remove_all(directory_);
    }

    auto start(const std::string& address, std::vector<std::string> seeds,
               bool is_founding) -> configuration_node&
    {
        auto hooks = configuration_node_hooks{};
        hooks.on_configuration = [](std::uint64_t, const std::string&) {
        };
        hooks.on_failure = [](const std::string& reason) {
            FAIL(reason);
        };
        hooks.ask_position =
            [this, index = nodes_.size()](const server_record& primary,
                                          time_point asked_at) {
                nodes_.at(index)->on_position(
                    primary.group, asked_at,
                    log_position{term(1), log_offset(100)});
            };
        hooks.supervisor.call_server = [](const server_call&) {
        };
        hooks.supervisor.promote = [](const group_id&, const target_id&) {
        };
        hooks.supervisor.log = [](std::string_view, const group_id&,
                                  const target_id&, const std::string&) {
        };
        auto options = configuration_node_options{address,
                                                  "region",
                                                  port_,
                                                  directory_ / address,
                                                  is_founding,
                                                  1,
                                                  [seeds] { return seeds; },
                                                  link_key(),
                                                  {},
                                                  {},
                                                  allowances,
                                                  disk_of(address)};
        options.consensus.removal_timeout = removal_timeout;
        nodes_.push_back(std::make_unique<configuration_node>(
            context, std::move(options), std::move(hooks)));
        nodes_.back()->start();
        return *nodes_.back();
    }

    /// Ends the node's process; its disk stays.
    auto end(const configuration_node& node) -> void
    {
        for (auto& each : nodes_) {
            if (each.get() == &node) {
                each.reset();
            }
        }
        context.run_for(std::chrono::milliseconds(10));
    }

    /// Runs until the condition holds; false if it does not within 20 s.
    template <class Condition>
    auto run_until(Condition condition) -> bool
    {
        const auto end = steady_now() + std::chrono::seconds(20);
        while (!condition() && steady_now() < end) {
            context.run_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    /// Number of voters as the node knows them.
    static auto voters(const configuration_node& node) -> std::size_t
    {
        auto count = std::size_t{0};
        const auto dump = parse_json(node.dump());
        for (const auto& member : (*dump)["members"].elements()) {
            count += member["voter"].truth() ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

    /// Addresses of the members whose disks are full.
    std::set<std::string> full_disks;
    // For members that are started later.
    std::optional<allowance_terms> allowances;
    duration removal_timeout = duration::zero();

    asio::io_context context{1};

private:
    auto disk_of(const std::string& address) -> file_hooks
    {
        auto hooks = system_file_hooks();
        hooks.write = [this, address,
                       write = hooks.write](int file, std::string_view bytes) {
            if (full_disks.contains(address)) {
                throw std::system_error(ENOSPC, std::generic_category(),
                                        "planted");
            }
            write(file, bytes);
        };
        return hooks;
    }

    static auto free_port() -> std::uint16_t
    {
        auto context = asio::io_context();
        auto acceptor = asio::ip::tcp::acceptor(
            context, {asio::ip::make_address("127.0.0.1"), 0});
        return acceptor.local_endpoint().port();
    }

    std::uint16_t port_;
    std::filesystem::path directory_;
    std::vector<std::unique_ptr<configuration_node>> nodes_;
};

inline const auto founders =
    std::vector<std::string>{"127.0.0.1", "127.0.0.2", "127.0.0.3"};

/// Starts the founders and 127.0.0.4, and waits until all four have votes.
inline auto start_four(loopback_group& group)
    -> std::vector<configuration_node*>
{
    auto members = std::vector<configuration_node*>();
    for (const auto& address : founders) {
        members.push_back(&group.start(address, founders, true));
    }
    members.push_back(&group.start("127.0.0.4", founders, false));
    REQUIRE(group.run_until(
        [&] { return loopback_group::voters(*members.back()) == 4; }));
    return members;
}

} // namespace rhubarbrun::test

#endif
