#ifndef RHUBARBRUN_SRC_STATE_BUNDLE_FIELDS_HPP
#define RHUBARBRUN_SRC_STATE_BUNDLE_FIELDS_HPP

#include <rhubarbrun/state/bundle.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace rhubarbrun::detail {

/// A numeric option and the member that holds it.
template <class Table>
struct bundle_field
{
    std::string_view name;
    std::string_view unit;
    std::int64_t lowest;
    std::int64_t highest;
    std::int64_t Table::*member;
};

// A lease above 3 s would use up most of the 5 s that a write gap may last.
inline constexpr auto timing_fields = std::array{
    bundle_field<bundle_timings>{"lease_ms", "ms", 300, 3000,
                                 &bundle_timings::lease_ms},
    bundle_field<bundle_timings>{"lease_renewal_ms", "ms", 50, 1000,
                                 &bundle_timings::lease_renewal_ms},
    bundle_field<bundle_timings>{"probe_interval_ms", "ms", 10, 1000,
                                 &bundle_timings::probe_interval_ms},
    bundle_field<bundle_timings>{"probe_silence_ms", "ms", 100, 5000,
                                 &bundle_timings::probe_silence_ms},
    bundle_field<bundle_timings>{"probe_failures", "", 1, 20,
                                 &bundle_timings::probe_failures},
    bundle_field<bundle_timings>{"announcement_ttl_ms", "ms", 2000, 60000,
                                 &bundle_timings::announcement_ttl_ms},
    bundle_field<bundle_timings>{"handover_wait_ms", "ms", 0, 60000,
                                 &bundle_timings::handover_wait_ms},
    bundle_field<bundle_timings>{"control_silence_ms", "ms", 1000, 60000,
                                 &bundle_timings::control_silence_ms},
};

inline constexpr auto group_fields = std::array{
    bundle_field<group_config>{"acknowledge_wait_ms", "ms", 10, 10000,
                               &group_config::acknowledge_wait_ms},
};

inline constexpr auto read_fields = std::array{
    bundle_field<read_policy>{"max_age_ms", "ms", 0, 3600000,
                              &read_policy::max_age_ms},
    bundle_field<read_policy>{"replicas_wanted", "", 0, 100,
                              &read_policy::replicas_wanted},
    bundle_field<read_policy>{"fallback_wait_ms", "ms", 0, 10000,
                              &read_policy::fallback_wait_ms},
};

inline constexpr auto limit_fields = std::array{
    bundle_field<group_limits>{"slots", "", 1, 1000, &group_limits::slots},
    bundle_field<group_limits>{"connections", "", 2, 10000,
                               &group_limits::connections},
    bundle_field<group_limits>{"reserved_connections_percent", "%", 0, 90,
                               &group_limits::reserved_connections_percent},
    bundle_field<group_limits>{"queue_length", "", 1, 100000,
                               &group_limits::queue_length},
    bundle_field<group_limits>{"queue_wait_ms", "ms", 1, 60000,
                               &group_limits::queue_wait_ms},
    bundle_field<group_limits>{"deadline_ms", "ms", 10, 3600000,
                               &group_limits::deadline_ms},
    bundle_field<group_limits>{"order_entry_weight", "", 1, 1000,
                               &group_limits::order_entry_weight},
    bundle_field<group_limits>{"lookup_weight", "", 1, 1000,
                               &group_limits::lookup_weight},
    bundle_field<group_limits>{"report_weight", "", 1, 1000,
                               &group_limits::report_weight},
    bundle_field<group_limits>{"caller_percent", "%", 1, 100,
                               &group_limits::caller_percent},
    bundle_field<group_limits>{"session_result_bytes", "bytes", 4096,
                               std::int64_t{1} << 30,
                               &group_limits::session_result_bytes},
};

} // namespace rhubarbrun::detail

#endif
