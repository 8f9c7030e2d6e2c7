#include <rhubarbrun/state/service_configuration.hpp>

#include <utility>

namespace rhubarbrun::inline v1 {

auto service_configuration::find(const database_id& database) const noexcept
    -> const database_route*
{
    const auto found = routes.find(database);
    return found == routes.end() ? nullptr : &found->second;
}

auto service_configuration::find_holder(const key_digest& key) const noexcept
    -> const organisation*
{
    const auto found = keys.find(key);
    return found == keys.end() ? nullptr : &organisations.at(found->second);
}

auto check_route(const service_configuration& configuration,
                 const database_route& route) -> void
{
    if (!configuration.groups.contains(route.group)) {
        throw configuration_error("route " + route.name +
                                  " names an unknown group " +
                                  route.group.value());
    }
    if (route.statement_timeout <= duration::zero()) {
        throw configuration_error("the statement timeout of route " +
                                  route.name + " is not positive");
    }
}

auto add_route(service_configuration& configuration, database_route route)
    -> void
{
    check_route(configuration, route);
    const auto name = route.name;
    const auto database = route.database;
    const auto [place, is_new] =
        configuration.routes.emplace(database, std::move(route));
    if (!is_new) {
        throw configuration_error("routes " + place->second.name + " and " +
                                  name + " name the same database");
    }
}

auto add_organisation(service_configuration& configuration, organisation added)
    -> void
{
    const auto id = added.id;
    if (id.value().empty()) {
        throw configuration_error("an organisation has no name");
    }
    if (configuration.organisations.contains(id)) {
        throw configuration_error("two organisations are called " + id.value());
    }
    for (const auto& key : added.keys) {
        const auto [place, is_new] = configuration.keys.emplace(key, id);
        if (!is_new && place->second != id) {
            // The keys themselves stay out of messages and logs.
            throw configuration_error("organisations " + place->second.value() +
                                      " and " + id.value() +
                                      " hold the same key");
        }
    }
    configuration.organisations.emplace(id, std::move(added));
}

} // namespace rhubarbrun::inline v1
