#ifndef RHUBARBRUN_PROTOCOL_SESSION_SETTINGS_HPP
#define RHUBARBRUN_PROTOCOL_SESSION_SETTINGS_HPP

#include <rhubarbrun/protocol/execute_messages.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Values of the proxy's own settings.
struct setting_values
{
    duration max_age{};
    std::optional<work_class> hinted_class;
    /// Zero stands for the default deadline.
    duration deadline{};
    bool is_idempotent = false;
    request_key key;
    bool is_read_only = false;
};

/// The proxy's own settings of one session: at start, by SET and by SET LOCAL.
///
/// Own settings are those named `rhubarbrun.*` and
/// `default_transaction_read_only`. `rhubarbrun.session_token` is kept by the
/// caller of this class, as it is shared with the proxy.
class session_settings
{
public:
    /// Whether `name` (in lower case) is a setting of the proxy.
    [[nodiscard]] static auto is_own(std::string_view name) -> bool;

    /// Sets `name`; no value stands for the value at session start. Returns
    /// the reason if the value or the name is not valid.
    [[nodiscard]] auto set(std::string_view name,
                           const std::optional<std::string>& value,
                           bool is_local) -> std::optional<std::string>;

    /// Text of the setting as SHOW prints it; no value for unknown names.
    [[nodiscard]] auto show(std::string_view name) const
        -> std::optional<std::string>;

    /// Makes the present values those to which RESET returns.
    auto keep_as_start_values() -> void { at_start_ = session_; }
    auto reset_all() -> void;

    /// Undoes SET LOCAL.
    auto end_transaction() -> void { local_.reset(); }

    /// Forgets the request key, as it names one request.
    auto use_key() -> request_key;

    [[nodiscard]] auto values() const noexcept -> const setting_values&
    {
        return local_ ? *local_ : session_;
    }

private:
    setting_values at_start_;
    setting_values session_;
    std::optional<setting_values> local_;
};

/// Splits the value of startup parameter `options` into `-c name=value` and
/// `--name=value` pairs, with backslash escapes. Returns no value if it holds
/// anything else.
[[nodiscard]] auto parse_startup_options(std::string_view options)
    -> std::optional<std::vector<std::pair<std::string, std::string>>>;

/// Whether a target's connection already has this value of a setting that is
/// not the proxy's own, or the setting has no effect on results.
[[nodiscard]] auto is_target_setting(std::string_view name,
                                     std::string_view value) -> bool;

} // namespace rhubarbrun::inline v1

#endif
