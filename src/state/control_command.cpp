#include <rhubarbrun/state/control_command.hpp>
#include <rhubarbrun/state/strict_archive.hpp>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <array>
#include <stdexcept>

namespace rhubarbrun::inline v1 {

namespace {

/// Incremented when an encoding changes; see `decode_command`.
constexpr auto command_format = std::uint8_t{1};

struct encoded_command
{
    std::uint8_t format = command_format;
    control_command command;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(format);
        if (format != command_format) {
            throw decode_error("the format of the command is not known");
        }
        archive(command);
    }
};

constexpr auto command_names = std::array<std::string_view, 12>{
    "bootstrap",      "propose_bundle", "approve_bundle", "roll_bundle",
    "register_proxy", "remove_proxy",   "drain_proxy",    "report_targets",
    "assign_target",  "begin_handover", "release_target", "set_primary",
};
static_assert(command_names.size() == std::variant_size_v<control_command>);

constexpr auto status_names = std::array<std::string_view, 24>{
    "ok",
    "not_empty",
    "unknown_operator",
    "invalid_bundle",
    "digest_mismatch",
    "version_taken",
    "version_not_higher",
    "version_out_of_range",
    "unknown_version",
    "withdrawn",
    "self_approval",
    "already_approved",
    "not_approved",
    "already_rolled",
    "unknown_proxy",
    "stale_incarnation",
    "proxy_owns_targets",
    "proxy_draining",
    "unknown_target",
    "unknown_group",
    "stale_epoch",
    "not_owner",
    "stale_term",
    "unsuitable_target",
};
static_assert(status_names.size() ==
              static_cast<std::size_t>(command_status::unsuitable_target) + 1);

} // namespace

auto encode_command(const control_command& command) -> std::string
{
    return encode(encoded_command{command_format, command});
}

auto decode_command(std::string_view bytes) -> control_command
{
    auto archive = strict_input_archive(bytes);
    auto decoded = encoded_command{};
    archive(decoded);
    if (archive.left() != 0) {
        throw decode_error("the command is followed by other bytes");
    }
    return std::move(decoded.command);
}

auto name_of(const control_command& command) noexcept -> std::string_view
{
    const auto index = command.index();
    return index < command_names.size() ? command_names[index] : "unknown";
}

auto to_string(command_status status) noexcept -> std::string_view
{
    const auto index = static_cast<std::size_t>(status);
    return index < status_names.size() ? status_names[index] : "unknown";
}

} // namespace rhubarbrun::inline v1
