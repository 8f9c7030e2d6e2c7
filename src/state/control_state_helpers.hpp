#ifndef RHUBARBRUN_SRC_STATE_CONTROL_STATE_HELPERS_HPP
#define RHUBARBRUN_SRC_STATE_CONTROL_STATE_HELPERS_HPP

#include "target_index.hpp"

#include <rhubarbrun/state/control_state.hpp>
#include <rhubarbrun/state/strict_archive.hpp>

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <openssl/sha.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace rhubarbrun::detail::control_state_helpers {

using target_index::erase_member;
using target_index::find_in;
using target_index::set_in;

/// Incremented when the saved form changes.
inline constexpr auto state_format = std::uint32_t{1};
inline constexpr auto state_magic = std::uint32_t{0x53435252};

inline auto refuse(command_status status) -> command_result
{
    auto result = command_result{};
    result.status = status;
    return result;
}

/// A result that names the bundle which holds the version.
inline auto describe(command_status status, const bundle_record& record)
    -> command_result
{
    auto result = refuse(status);
    result.version = record.version;
    result.digest = record.digest;
    result.proposer = record.proposer;
    return result;
}

/// As above, with the operator who took the step.
inline auto describe(command_status status, const bundle_record& record,
                     const operator_id& actor) -> command_result
{
    auto result = describe(status, record);
    result.actor = actor;
    return result;
}

inline auto checksum(std::string_view bytes) -> std::string
{
    auto hash = std::string(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
           reinterpret_cast<unsigned char*>(hash.data()));
    return hash;
}

inline auto is_open(bundle_stage stage) -> bool
{
    return stage == bundle_stage::proposed || stage == bundle_stage::approved;
}

inline auto contains(const std::vector<operator_entry>& operators,
                     const operator_id& id) -> bool
{
    return std::any_of(operators.begin(), operators.end(),
                       [&](const auto& entry) { return entry.id == id; });
}

} // namespace rhubarbrun::detail::control_state_helpers

#endif
