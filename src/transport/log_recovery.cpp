#include "log_store.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <utility>

namespace rhubarbrun::detail {

namespace {

constexpr auto layout_version = std::uint32_t{1};
/// Largest member file, in bytes; it holds one name and two numbers.
constexpr auto member_file_limit = std::size_t{4096};

constexpr auto rejoin_remedy =
    "move the whole data directory away and start again; the member then "
    "re-joins the group with an empty directory, provided that a majority of "
    "the other members is intact";

/// Number in the name of a segment file, or 0.
auto segment_number(const std::filesystem::path& path) -> std::uint64_t
{
    constexpr auto prefix = std::string_view("segment-");
    const auto name = path.filename().string();
    auto number = std::uint64_t{0};
    if (name.compare(0, prefix.size(), prefix) == 0) {
        std::from_chars(name.data() + prefix.size(), name.data() + name.size(),
                        number);
    }
    return number;
}

} // namespace

auto log_store::recover(const random_function& random) -> void
{
    remove_temporary_files();
    list_segments();
    const auto has_snapshot =
        std::filesystem::exists(options_.directory / "snapshot");
    if (std::filesystem::exists(options_.directory / "member")) {
        read_member();
    } else if (segments_.empty() && !has_snapshot) {
        create_member(random);
    } else {
        throw log_corrupt_error(options_.directory / "member", 0,
                                "missing although log files exist",
                                rejoin_remedy);
    }
    if (member_.last_segment == 0) {
        // The first start was interrupted; nothing was ever persisted.
        for (const auto& [number, highest] : segments_) {
            hooks_.remove(segment_path(number));
        }
        segments_.clear();
        hooks_.sync_directory(
            std::filesystem::absolute(options_.directory).parent_path());
        start_segment(1, first_record());
        return;
    }
    if (segments_.empty() || segments_.rbegin()->first < member_.last_segment) {
        throw log_corrupt_error(segment_path(member_.last_segment), 0,
                                "missing", rejoin_remedy);
    }
    if (has_snapshot) {
        read_snapshot();
    }
    skip_replaced_segments();
    auto numbers = std::vector<std::uint64_t>{};
    for (const auto& [number, highest] : segments_) {
        numbers.push_back(number);
    }
    for (const auto number : numbers) {
        read_segment(number);
    }
    if (member_.last_segment != segments_.rbegin()->first) {
        // Written with the next batch, so that a start needs no room on disk.
        member_.last_segment = segments_.rbegin()->first;
        is_member_file_outdated_ = true;
    }
    join_snapshot_and_entries();
    for (const auto number : stale_segments_) {
        hooks_.remove(segment_path(number));
    }
    // A process that ended before it synced the directory leaves names that a
    // power failure would still undo.
    hooks_.sync_directory(options_.directory);
    stored_.state = state_;
}

auto log_store::remove_temporary_files() -> void
{
    for (const auto* const name : {"member.tmp", "snapshot.tmp"}) {
        if (std::filesystem::exists(options_.directory / name)) {
            hooks_.remove(options_.directory / name);
        }
    }
}

auto log_store::create_member(const random_function& random) -> void
{
    auto instance = random();
    while (instance == 0) {
        instance = random();
    }
    member_.identity = {options_.member, incarnation(instance)};
    write_member();
}

auto log_store::read_member() -> void
{
    const auto path = options_.directory / "member";
    const auto bytes = read_file(path, member_file_limit);
    const auto framed = read_record(bytes, member_file_limit);
    if (!framed) {
        throw log_corrupt_error(path, 0, "the checksum does not match",
                                rejoin_remedy);
    }
    member_ = decode<member_record>(framed->payload);
    if (member_.version != layout_version) {
        throw log_corrupt_error(path, record_header_bytes,
                                "the file layout has version " +
                                    std::to_string(member_.version),
                                "start a release that supports this version");
    }
    if (member_.identity.id != options_.member) {
        throw log_corrupt_error(
            path, record_header_bytes,
            "the directory belongs to member \"" + member_.identity.id.value() +
                "\", not to \"" + options_.member.value() + "\"",
            "correct the member name or the data directory in the settings");
    }
}

auto log_store::read_snapshot() -> void
{
    const auto path = options_.directory / "snapshot";
    const auto bytes =
        read_file(path, options_.snapshot_bytes + record_header_bytes);
    const auto framed = read_record(bytes, options_.snapshot_bytes);
    if (!framed || framed->size != bytes.size()) {
        throw log_corrupt_error(path, 0, "the checksum does not match",
                                rejoin_remedy);
    }
    stored_.snapshot = std::make_shared<const log_snapshot>(
        decode<log_snapshot>(framed->payload));
    snapshot_index_ = stored_.snapshot->metadata.index;
}

auto log_store::list_segments() -> void
{
    for (const auto& file :
         std::filesystem::directory_iterator(options_.directory)) {
        if (const auto number = segment_number(file.path()); number != 0) {
            segments_[number] = log_index(0);
        }
    }
    // A crash may undo the removal of a segment that was covered by a snapshot
    // and keep the removal of a later one. A gap that is a real loss shows as
    // missing entries.
    auto first = segments_.rbegin();
    while (first != segments_.rend() && std::next(first) != segments_.rend() &&
           std::next(first)->first + 1 == first->first)
    {
        ++first;
    }
    while (!segments_.empty() && segments_.begin()->first < first->first) {
        stale_segments_.push_back(segments_.begin()->first);
        segments_.erase(segments_.begin());
    }
}

auto log_store::skip_replaced_segments() -> void
{
    // A crash may keep the removal of some of the segments before a restored
    // snapshot. The ones that are left need not be readable without them.
    const auto is_restored = [this](std::uint64_t number) {
        const auto bytes =
            read_file(segment_path(number), options_.segment_bytes +
                                                options_.record_bytes +
                                                record_header_bytes);
        const auto framed = read_record(bytes, options_.record_bytes);
        return framed && decode<log_record>(framed->payload).restored;
    };
    auto first = segments_.rbegin();
    while (first != segments_.rend() && !is_restored(first->first)) {
        ++first;
    }
    while (first != segments_.rend() && segments_.begin()->first < first->first)
    {
        stale_segments_.push_back(segments_.begin()->first);
        segments_.erase(segments_.begin());
    }
}

auto log_store::read_segment(std::uint64_t number) -> void
{
    const auto path = segment_path(number);
    const auto is_last = number == segments_.rbegin()->first;
    const auto is_first = number == segments_.begin()->first;
    const auto bytes =
        read_file(path, options_.segment_bytes + options_.record_bytes +
                            record_header_bytes);
    auto offset = std::size_t{0};
    while (offset < bytes.size()) {
        const auto rest = std::string_view(bytes).substr(offset);
        const auto framed = read_record(rest, options_.record_bytes);
        if (!framed && is_last &&
            !has_later_record(rest, options_.record_bytes)) {
            break;
        }
        const auto is_expected =
            framed &&
            (framed->sequence == next_sequence_ || (is_first && offset == 0));
        if (!is_expected) {
            throw log_corrupt_error(path, offset,
                                    framed ? "a record is missing"
                                           : "the checksum does not match",
                                    rejoin_remedy);
        }
        if (is_first && offset == 0) {
            next_sequence_ = framed->sequence;
            last_ = snapshot_index_;
        }
        replay(number, offset, *framed);
        offset += framed->size;
    }
    if (is_last) {
        cut_tail(number, bytes, offset);
    } else if (offset == 0) {
        throw log_corrupt_error(path, 0, "the segment is empty", rejoin_remedy);
    }
}

auto log_store::cut_tail(std::uint64_t number, std::string_view bytes,
                         std::size_t offset) -> void
{
    torn_bytes_ = bytes.size() - offset;
    if (offset == 0) {
        // Not even the first record is complete: the segment is begun again.
        if (number == member_.last_segment) {
            throw log_corrupt_error(segment_path(number), 0,
                                    "the first record is damaged",
                                    rejoin_remedy);
        }
        hooks_.remove(segment_path(number));
        segments_.erase(number);
        if (segments_.empty()) {
            start_segment(number, first_record());
            return;
        }
        // The segment before is whole; going on in it needs no room on disk.
        const auto previous = segments_.rbegin()->first;
        open_segment(previous);
        segment_size_ = std::filesystem::file_size(segment_path(previous));
        hooks_.sync(descriptor_);
        return;
    }
    open_segment(number);
    segment_size_ = offset;
    if (torn_bytes_ != 0) {
        hooks_.truncate(descriptor_, offset);
    }
    // The last record counts from now on, but a process that ended before it
    // synced the record leaves it in memory only.
    hooks_.sync(descriptor_);
}

auto log_store::replay(std::uint64_t number, std::size_t offset,
                       const framed_record& framed) -> void
{
    auto record = decode<log_record>(framed.payload);
    // The first record that is left may follow any entry that the snapshot
    // covers, and a restored snapshot replaces whatever was before it.
    const auto is_complete =
        record.restored ||
        (stored_.entries.empty() ? record.previous <= snapshot_index_
                                 : record.previous == last_);
    if (!is_complete) {
        throw log_corrupt_error(segment_path(number), offset,
                                "entries before index " +
                                    std::to_string(record.previous.value()) +
                                    " are missing",
                                rejoin_remedy);
    }
    next_sequence_ = framed.sequence + 1;
    state_ = record.state.value_or(state_);
    if (record.restored) {
        stored_.entries.clear();
        last_ = *record.restored;
        for (auto& [other, highest] : segments_) {
            highest = log_index(0);
        }
        if (*record.restored > snapshot_index_) {
            throw log_corrupt_error(options_.directory / "snapshot", 0,
                                    "older than the log", rejoin_remedy);
        }
    }
    for (auto& entry : record.entries) {
        replay_entry(number, offset, std::move(entry));
    }
}

auto log_store::replay_entry(std::uint64_t number, std::size_t offset,
                             log_entry entry) -> void
{
    auto& entries = stored_.entries;
    while (!entries.empty() && entries.back().index >= entry.index) {
        entries.pop_back();
    }
    if (!entries.empty() && entry.index != entries.back().index.next()) {
        throw log_corrupt_error(segment_path(number), offset,
                                "entries are missing before index " +
                                    std::to_string(entry.index.value()),
                                rejoin_remedy);
    }
    auto& highest = segments_[number];
    highest = std::max(highest, entry.index);
    last_ = entry.index;
    entries.push_back(std::move(entry));
}

auto log_store::join_snapshot_and_entries() -> void
{
    auto& entries = stored_.entries;
    if (entries.empty()) {
        return;
    }
    if (entries.front().index > snapshot_index_.next()) {
        throw log_corrupt_error(
            segment_path(segments_.begin()->first), 0,
            "entries " + std::to_string(snapshot_index_.value() + 1) + " to " +
                std::to_string(entries.front().index.value() - 1) +
                " are missing",
            rejoin_remedy);
    }
    if (!stored_.snapshot) {
        return;
    }
    const auto& metadata = stored_.snapshot->metadata;
    const auto is_continued =
        entries.front().index > metadata.index ||
        std::any_of(entries.begin(), entries.end(), [&](const auto& entry) {
            return entry.index == metadata.index &&
                   entry.elected == metadata.elected;
        });
    if (is_continued) {
        std::erase_if(entries, [&](const auto& entry) {
            return entry.index <= metadata.index;
        });
        return;
    }
    // The process ended between saving a restored snapshot and recording that
    // it replaces the entries.
    entries.clear();
    auto record = log_record{};
    record.restored = metadata.index;
    append(std::move(record));
}

auto log_store::read_file(const std::filesystem::path& path,
                          std::size_t limit) const -> std::string
{
    const auto size = std::filesystem::file_size(path);
    if (size > limit) {
        throw log_corrupt_error(path, limit,
                                "larger than the limit of " +
                                    std::to_string(limit) + " bytes",
                                rejoin_remedy);
    }
    auto bytes = std::string(size, '\0');
    auto in = std::ifstream(path, std::ios::binary);
    if (!in.read(bytes.data(), static_cast<std::streamsize>(size))) {
        throw log_storage_error("cannot read " + path.string());
    }
    return bytes;
}

} // namespace rhubarbrun::detail
