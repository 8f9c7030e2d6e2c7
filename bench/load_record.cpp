#include "load_record.hpp"

#include <fstream>
#include <stdexcept>

namespace rhubarbrun::bench {

auto save_entries(const std::string& path,
                  const std::vector<write_entry>& entries) -> void
{
    auto file = std::ofstream(path);
    for (const auto& entry : entries) {
        file << entry.outcome << ' ' << entry.kind << ' ' << entry.key << '\n';
    }
    file.flush();
    if (!file) {
        throw std::runtime_error("cannot write " + path);
    }
}

auto load_entries(const std::string& path) -> std::vector<write_entry>
{
    auto file = std::ifstream(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    auto entries = std::vector<write_entry>{};
    auto entry = write_entry{};
    while (file >> entry.outcome >> entry.kind >> entry.key) {
        entries.push_back(entry);
    }
    return entries;
}

auto check_entries(const std::vector<write_entry>& entries,
                   const std::vector<std::string>& orders,
                   const std::map<std::string, std::int64_t>& counters)
    -> check_result
{
    auto result = check_result{};
    auto present = std::map<std::string, std::uint64_t>{};
    for (const auto& order : orders) {
        result.repeated += ++present[order] == 2 ? 1 : 0;
    }
    struct bounds
    {
        std::int64_t least = 0;
        std::int64_t most = 0;
    };
    auto expected = std::map<std::string, bounds>{};
    for (const auto& entry : entries) {
        const auto is_acknowledged = entry.outcome == "ran";
        result.acknowledged += is_acknowledged ? 1 : 0;
        if (entry.kind == "count") {
            auto& counter = expected[entry.key];
            counter.least += is_acknowledged ? 1 : 0;
            counter.most +=
                is_acknowledged || entry.outcome == "may_have_run" ? 1 : 0;
            continue;
        }
        const auto is_present = present.contains(entry.key);
        result.lost += is_acknowledged && !is_present ? 1 : 0;
        result.refused_but_present +=
            entry.outcome == "not_run" && is_present ? 1 : 0;
    }
    for (const auto& [key, counter] : expected) {
        const auto found = counters.find(key);
        const auto value = found == counters.end() ? 0 : found->second;
        result.lost_counts += value < counter.least ? 1 : 0;
        result.repeated_counts += value > counter.most ? 1 : 0;
    }
    return result;
}

} // namespace rhubarbrun::bench
