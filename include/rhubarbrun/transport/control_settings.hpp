#ifndef RHUBARBRUN_TRANSPORT_CONTROL_SETTINGS_HPP
#define RHUBARBRUN_TRANSPORT_CONTROL_SETTINGS_HPP

#include <rhubarbrun/state/bundle.hpp>
#include <rhubarbrun/transport/control_node.hpp>
#include <rhubarbrun/transport/settings.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Settings of rhubarbrun-control.
struct control_settings
{
    process_settings process;
    std::string data_directory;
    /// File with the first operators; empty for none.
    std::string operators_file;
    bool is_founding = false;
    std::size_t snapshot_entries = 0;
};

/// The settings of rhubarbrun-control, the shared ones included.
[[nodiscard]] auto control_settings_list() -> std::vector<setting>;

/// Their values after read_settings found no fault.
[[nodiscard]] auto control_settings_values() -> control_settings;

/// Reads the files that the settings name.
/// @throws settings_error if one of them is not usable.
[[nodiscard]] auto control_options(const control_settings& settings)
    -> control_node_options;

/// Parses the `[[operators]]` tables of a TOML text, each with `id` and
/// `token_sha256`.
/// @throws settings_error with line and column of the first fault.
[[nodiscard]] auto parse_first_operators(std::string_view text)
    -> std::vector<operator_entry>;

} // namespace rhubarbrun::inline v1

#endif
