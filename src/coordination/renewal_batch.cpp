#include <rhubarbrun/coordination/renewal_batch.hpp>

#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// A small part of the time after which a silent primary is looked at.
constexpr auto renewal_interval = milliseconds(200);

} // namespace

auto renewal_batch::add(const server_record& record) -> void
{
    auto& known = records_[record.id];
    if (known.id.is_empty() || record.is_newer_than(known)) {
        known = record;
    }
}

auto renewal_batch::take_due(time_point now) -> std::vector<server_record>
{
    auto due = std::vector<server_record>();
    if (records_.empty() || now - taken_at_ < renewal_interval) {
        return due;
    }
    taken_at_ = now;
    for (auto& [id, record] : std::exchange(records_, {})) {
        due.push_back(std::move(record));
    }
    return due;
}

} // namespace rhubarbrun::inline v1
