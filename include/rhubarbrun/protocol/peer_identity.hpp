#ifndef RHUBARBRUN_PROTOCOL_PEER_IDENTITY_HPP
#define RHUBARBRUN_PROTOCOL_PEER_IDENTITY_HPP

#include <rhubarbrun/state/ids.hpp>

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Program that a process runs.
enum class peer_role : std::uint8_t
{
    control = 1,
    proxy = 2,
};

/// Name of a role for logs.
[[nodiscard]] constexpr auto to_string(peer_role role) noexcept
    -> std::string_view
{
    return role == peer_role::control ? "control" : "proxy";
}

/// Name of a process; a control member and a proxy may share a name.
struct peer_name
{
    peer_role role = peer_role::proxy;
    std::string name;

    // clang-tidy 14 takes the 0 in a rewritten comparison for a null pointer.
    friend auto operator<=>(const peer_name&, const peer_name&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
    friend auto operator==(const peer_name&, const peer_name&)
        -> bool = default;

    friend auto operator<<(std::ostream& out, const peer_name& value)
        -> std::ostream&
    {
        return out << to_string(value.role) << '/' << value.name;
    }

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(role, name);
    }
};

/// One run of a process.
struct peer_identity
{
    peer_name who;
    incarnation run;

    friend auto operator==(const peer_identity&, const peer_identity&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(who, run);
    }
};

} // namespace rhubarbrun::inline v1

#endif
