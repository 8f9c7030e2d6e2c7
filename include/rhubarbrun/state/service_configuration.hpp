#ifndef RHUBARBRUN_STATE_SERVICE_CONFIGURATION_HPP
#define RHUBARBRUN_STATE_SERVICE_CONFIGURATION_HPP

#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/key_digest.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Name of a database as callers give it.
using database_id = strong_id<struct database_id_tag, std::string>;

/// Which commits a read of a route must see.
enum class read_consistency : std::uint8_t
{
    /// Every commit that was acknowledged before the read arrived.
    primary,
    /// Commits that are older than the route's limit.
    bounded_staleness,
    /// The same, and all commits of the reading session.
    read_your_writes,
};

/// Name of a consistency for logs and metrics.
[[nodiscard]] constexpr auto to_string(read_consistency value) noexcept
    -> std::string_view
{
    switch (value) {
    case read_consistency::primary:
        return "primary";
    case read_consistency::bounded_staleness:
        return "bounded_staleness";
    case read_consistency::read_your_writes:
        return "read_your_writes";
    }
    return "unknown";
}

/// How the requests of one database are served.
struct database_route
{
    /// Unique name of the route.
    std::string name;
    database_id database;
    /// Group of servers that holds the database.
    group_id group;
    read_consistency consistency = read_consistency::primary;
    /// Age up to which a commit may be missing from a read; not used by
    /// `read_consistency::primary`.
    duration staleness_limit = duration::zero();
    /// Time for a single statement.
    duration statement_timeout = duration::zero();
    /// Latency objective of a whole operation.
    duration latency_objective = duration::zero();
    /// 0 goes first.
    std::uint32_t priority = 0;
    /// Callers need no key, even if the configuration has organisations.
    bool is_public = false;
};

/// Limits of a group of servers.
struct server_group_limits
{
    /// Connections that one server accepts, from all callers together.
    std::uint32_t connections_per_server = 1;
    /// Replicas that must hold a commit before it is acknowledged.
    std::uint32_t synchronous_replicas = 0;
};

/// Limit of the operations of one organisation, over all proxies together.
struct operation_allowance
{
    std::uint32_t rate_per_second = 0;
    /// Operations that may be begun at once after a pause.
    std::uint32_t burst = 0;

    auto operator==(const operation_allowance&) const -> bool = default;
};

/// An organisation whose callers use the deployment.
struct organisation
{
    organisation_id id;
    /// 0 goes first.
    std::uint32_t priority = 0;
    /// No value if its operations are not limited.
    std::optional<operation_allowance> allowance;
    /// Digests of the keys that identify its callers.
    std::vector<key_digest> keys;
};

/// A configuration that is not valid.
class configuration_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// What a deployment serves: a complete, versioned configuration.
struct service_configuration
{
    std::uint64_t version = 0;
    std::map<database_id, database_route> routes;
    std::map<group_id, server_group_limits> groups;
    /// If there are none, callers need no key.
    std::map<organisation_id, organisation> organisations;
    /// The organisation that holds each key.
    std::map<key_digest, organisation_id> keys;
    /// A transaction without a request for this long may be ended. Zero
    /// stands for no limit.
    duration transaction_idle_limit = duration::zero();

    /// The route of a database, or null.
    [[nodiscard]] auto find(const database_id& database) const noexcept
        -> const database_route*;
    /// The organisation that holds a key, or null.
    [[nodiscard]] auto find_holder(const key_digest& key) const noexcept
        -> const organisation*;
};

/// Checks a route against the groups of `configuration`.
/// @throws configuration_error if its group is not known or its statement
/// timeout is not positive.
auto check_route(const service_configuration& configuration,
                 const database_route& route) -> void;

/// Adds a route.
/// @throws configuration_error if `check_route` does, or if its database has a
/// route already.
auto add_route(service_configuration& configuration, database_route route)
    -> void;

/// Adds an organisation and its keys.
/// @throws configuration_error if its name is empty or taken, or if another
/// organisation holds one of its keys.
auto add_organisation(service_configuration& configuration, organisation added)
    -> void;

} // namespace rhubarbrun::inline v1

#endif
