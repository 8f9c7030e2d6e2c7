#ifndef RHUBARBRUN_TRANSPORT_SETTINGS_HPP
#define RHUBARBRUN_TRANSPORT_SETTINGS_HPP

#include <rhubarbrun/protocol/secret_key.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/transport/asio.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Prefix of the environment variables of settings.
inline constexpr std::string_view environment_prefix = "RHUBARBRUN_";

/// One setting of a program: an Abseil flag, and the environment variable
/// `RHUBARBRUN_<NAME>`, which the flag overrides.
struct setting
{
    /// Name of the Abseil flag.
    std::string name;
    /// Unit or form of the value for `--help`, such as "ms" or
    /// "address:port".
    std::string unit;
    /// Returns what is wrong with a value, or an empty text.
    std::function<std::string(const std::string& value)> check;
};

/// What a program was started with.
struct settings_input
{
    std::vector<std::string> arguments;
    /// `NAME=value` texts.
    std::vector<std::string> environment;

    /// Input of this process.
    [[nodiscard]] static auto of_process(int argument_count, char** arguments)
        -> settings_input;
};

/// Result of reading the settings.
struct settings_outcome
{
    /// One sentence per fault, naming the flag or the variable. Values are
    /// not repeated, as they may be secrets given by mistake.
    std::vector<std::string> faults;
    bool is_help_requested = false;
    /// Arguments that are not flags.
    std::vector<std::string> words;
};

/// Sets the flags from the environment and the arguments, and checks them.
/// Variables with the prefix that belong to no setting are faults.
[[nodiscard]] auto read_settings(const std::vector<setting>& settings,
                                 const settings_input& input)
    -> settings_outcome;

/// Text for `--help`: each setting with unit, default and variable.
[[nodiscard]] auto settings_help(std::string_view usage,
                                 const std::vector<setting>& settings)
    -> std::string;

/// All faults in one message.
[[nodiscard]] auto faults_message(const std::vector<std::string>& faults)
    -> std::string;

/// `a.b.c.d:port` or `[v6]:port`; no value if the text is neither.
[[nodiscard]] auto parse_endpoint(std::string_view text)
    -> std::optional<asio::ip::tcp::endpoint>;

/// One control member in the setting `control_members`.
struct control_address
{
    member_id id;
    asio::ip::tcp::endpoint peer;
};

/// `name=address:port,...`; no value if the text is malformed, empty or names
/// a member twice.
[[nodiscard]] auto parse_control_members(std::string_view text)
    -> std::optional<std::vector<control_address>>;

/// Checks for use in `setting::check`.
namespace setting_check {
[[nodiscard]] auto endpoint(const std::string& value) -> std::string;
[[nodiscard]] auto optional_endpoint(const std::string& value) -> std::string;
[[nodiscard]] auto name(const std::string& value) -> std::string;
[[nodiscard]] auto control_members(const std::string& value) -> std::string;
[[nodiscard]] auto not_empty(const std::string& value) -> std::string;
/// A whole number within the bounds.
[[nodiscard]] auto between(std::int64_t lowest, std::int64_t highest)
    -> std::function<std::string(const std::string&)>;
} // namespace setting_check

/// A settings fault that is found after read_settings.
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Reads the deployment key; white space at its end does not count.
/// @throws settings_error if the file cannot be read, holds fewer than 32
/// bytes, or may be read by others than its owner.
[[nodiscard]] auto read_deployment_key(const std::string& path) -> secret_key;

/// Settings that rhubarbrun-proxy and rhubarbrun-control share.
struct process_settings
{
    std::string name;
    zone_id zone;
    /// TCP and UDP endpoint for other processes.
    asio::ip::tcp::endpoint peer_listen;
    /// IP address that other processes use; that of `peer_listen` by default.
    asio::ip::address advertised_address;
    asio::ip::tcp::endpoint http_listen;
    std::vector<control_address> control_members;
    std::string deployment_key_file;
    std::size_t threads = 2;
};

/// The shared settings, to be joined with those of the program.
[[nodiscard]] auto shared_settings() -> std::vector<setting>;

/// Values of the shared settings after read_settings found no fault.
[[nodiscard]] auto shared_values() -> process_settings;

} // namespace rhubarbrun::inline v1

#endif
