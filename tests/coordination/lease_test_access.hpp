#ifndef RHUBARBRUN_TESTS_COORDINATION_LEASE_TEST_ACCESS_HPP
#define RHUBARBRUN_TESTS_COORDINATION_LEASE_TEST_ACCESS_HPP

#include <rhubarbrun/coordination/lease_table.hpp>

namespace rhubarbrun::detail {

/// Injects faults that the lease safety checks must detect.
struct lease_test_access
{
    /// Makes the leader expire its leases earlier than it granted them.
    static auto shorten(lease_table& table, duration by) -> void
    {
        table.expiries_.clear();
        for (auto& [proxy, lease] : table.leases_) {
            if (lease.phase == lease_table::lease_phase::live) {
                lease.expires_at -= by;
                table.expiries_.emplace(lease.expires_at, proxy);
            }
        }
    }
};

} // namespace rhubarbrun::detail

#endif
