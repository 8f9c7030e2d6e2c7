#ifndef RHUBARBRUN_BENCH_LOAD_RECORD_HPP
#define RHUBARBRUN_BENCH_LOAD_RECORD_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rhubarbrun::bench {

/// What the sessions were told about one write.
struct write_entry
{
    /// `ran`, `not_run`, `may_have_run`, or `failed` for an error of the
    /// target.
    std::string outcome;
    /// `order` for a new row, `count` for one more on a counter.
    std::string kind;
    /// Key of the row.
    std::string key;
};

/// Writes one entry a line.
auto save_entries(const std::string& path,
                  const std::vector<write_entry>& entries) -> void;
/// @throws std::runtime_error if the file cannot be read
[[nodiscard]] auto load_entries(const std::string& path)
    -> std::vector<write_entry>;

struct check_result
{
    std::uint64_t acknowledged = 0;
    /// Acknowledged orders that are not in the table.
    std::uint64_t lost = 0;
    /// Orders in the table that were answered "not run".
    std::uint64_t refused_but_present = 0;
    /// Counters below the acknowledged number of increments.
    std::uint64_t lost_counts = 0;
    /// Counters above the number of increments that may have run.
    std::uint64_t repeated_counts = 0;
    /// Order keys that appear more than once.
    std::uint64_t repeated = 0;

    [[nodiscard]] auto is_good() const -> bool
    {
        return lost + refused_but_present + lost_counts + repeated_counts +
                   repeated ==
               0;
    }
};

/// Compares what was answered with what the primary holds.
[[nodiscard]] auto
check_entries(const std::vector<write_entry>& entries,
              const std::vector<std::string>& orders,
              const std::map<std::string, std::int64_t>& counters)
    -> check_result;

} // namespace rhubarbrun::bench

#endif
