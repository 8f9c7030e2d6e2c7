#include "log_store.hpp"

#include <sys/file.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>

namespace rhubarbrun::detail {

namespace {

constexpr auto lock_mode = mode_t{0600};

/// Closes a file when an exception passes.
class open_file_guard
{
public:
    open_file_guard(const file_hooks& hooks, int descriptor)
        : hooks_(hooks), descriptor_(descriptor)
    {
    }
    open_file_guard(const open_file_guard&) = delete;
    auto operator=(const open_file_guard&) -> open_file_guard& = delete;
    ~open_file_guard() { hooks_.close(descriptor_); }

private:
    const file_hooks& hooks_;
    int descriptor_;
};

/// Whether an operation was refused for lack of room and changed nothing but
/// the end of the file.
auto is_out_of_room(const std::error_code& error) -> bool
{
    return error == std::errc::no_space_on_device ||
           error == std::errc::file_too_large || error.value() == EDQUOT;
}

} // namespace

directory_lock::directory_lock(const std::filesystem::path& directory)
{
    auto error = std::error_code{};
    std::filesystem::create_directories(directory, error);
    const auto path = directory / "lock";
    descriptor_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, lock_mode);
    if (descriptor_ < 0) {
        throw log_storage_error(
            "cannot open " + path.string() + ": " +
            std::generic_category().message(errno) +
            "; give the process a data directory that it may write");
    }
    if (::flock(descriptor_, LOCK_EX | LOCK_NB) != 0) {
        ::close(descriptor_);
        throw log_locked_error("data directory " + directory.string() +
                               " is in use by another process");
    }
}

directory_lock::~directory_lock()
{
    ::close(descriptor_);
}

log_store::log_store(log_files_options options, const random_function& random,
                     file_hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      lock_(options_.directory)
{
    try {
        recover(random);
    } catch (const cereal::Exception& error) {
        close_segment();
        throw log_corrupt_error(options_.directory, 0,
                                std::string("a record cannot be decoded: ") +
                                    error.what(),
                                "start the release that wrote the files");
    } catch (const std::system_error& error) {
        close_segment();
        if (is_out_of_room(error.code())) {
            throw log_full_error("data directory " +
                                 options_.directory.string() +
                                 " cannot be opened: " + error.what());
        }
        throw log_storage_error("data directory " +
                                options_.directory.string() +
                                " cannot be opened: " + error.what());
    } catch (...) {
        close_segment();
        throw;
    }
}

log_store::~log_store()
{
    close_segment();
}

auto log_store::take_stored() -> stored_log
{
    return std::exchange(stored_, {});
}

auto log_store::save(const consensus_ready& ready) -> void
{
    if (!failure_.empty()) {
        throw log_storage_error("the log is closed after an earlier failure: " +
                                failure_);
    }
    try {
        save_batch(ready);
    } catch (const std::exception& error) {
        const auto* const refused =
            dynamic_cast<const std::system_error*>(&error);
        if (refused != nullptr && is_out_of_room(refused->code())) {
            throw log_full_error("no room for the log in " +
                                 options_.directory.string() + ": " +
                                 error.what());
        }
        // What the failed operation left behind is unknown until the files are
        // read again at the next start.
        failure_ = error.what();
        close_segment();
        throw log_storage_error("the log in " + options_.directory.string() +
                                " cannot be made durable: " + failure_);
    } catch (...) {
        failure_ = "unknown error";
        close_segment();
        throw;
    }
}

auto log_store::save_batch(const consensus_ready& ready) -> void
{
    if (is_member_file_outdated_) {
        write_member();
    }
    if (ready.snapshot) {
        save_snapshot(*ready.snapshot);
    }
    auto record = log_record{};
    record.state = ready.state;
    if (ready.is_restore) {
        record.restored = ready.snapshot->metadata.index;
    }
    auto bytes = std::size_t{0};
    for (const auto& entry : ready.entries) {
        // Half of the limit leaves room for the state and the encoding.
        if (bytes + entry.weight() > options_.record_bytes / 2 &&
            !record.entries.empty())
        {
            append(std::exchange(record, {}));
            bytes = 0;
        }
        bytes += entry.weight();
        record.entries.push_back(entry);
    }
    if (record.state || record.restored || !record.entries.empty()) {
        append(std::move(record));
    }
    if (ready.snapshot) {
        remove_covered_segments();
    }
}

auto log_store::save_snapshot(const log_snapshot& snapshot) -> void
{
    const auto payload = encode(snapshot);
    if (payload.size() > options_.snapshot_bytes) {
        throw std::runtime_error(
            "snapshot of " + std::to_string(payload.size()) +
            " bytes exceeds the limit of " +
            std::to_string(options_.snapshot_bytes) + " bytes");
    }
    replace_file(options_.directory / "snapshot", frame_record(0, payload));
    snapshot_index_ = snapshot.metadata.index;
}

auto log_store::append(log_record record) -> void
{
    record.previous = last_;
    const auto payload = encode(record);
    if (payload.size() > options_.record_bytes) {
        throw std::runtime_error(
            "log record of " + std::to_string(payload.size()) +
            " bytes exceeds the limit of " +
            std::to_string(options_.record_bytes) + " bytes");
    }
    if (record.restored) {
        // Earlier segments are removed. In the last of them, the records before
        // this one may follow entries beyond the snapshot that were void, and
        // could not be read without the segments before.
        record.state = record.state.value_or(state_);
        record.previous = *record.restored;
        start_segment(member_.last_segment + 1, record);
        note_written(record);
        return;
    }
    if (segment_size_ >= options_.segment_bytes) {
        start_segment(member_.last_segment + 1, first_record());
    }
    // One record per sync: only the last record of a segment can be torn.
    const auto framed = frame_record(next_sequence_, payload);
    cut_refused_write();
    has_refused_write_ = true;
    hooks_.write(descriptor_, framed);
    has_refused_write_ = false;
    sync(descriptor_);
    ++next_sequence_;
    segment_size_ += framed.size();
    note_written(record);
}

auto log_store::cut_refused_write() -> void
{
    if (has_refused_write_) {
        hooks_.truncate(descriptor_, segment_size_);
        has_refused_write_ = false;
    }
}

auto log_store::sync(int descriptor) -> void
{
    try {
        hooks_.sync(descriptor);
    } catch (const std::system_error& error) {
        throw std::runtime_error(error.what());
    }
}

auto log_store::sync_directory() -> void
{
    try {
        hooks_.sync_directory(options_.directory);
    } catch (const std::system_error& error) {
        throw std::runtime_error(error.what());
    }
}

auto log_store::note_written(const log_record& record) -> void
{
    state_ = record.state.value_or(state_);
    if (record.restored) {
        last_ = *record.restored;
        for (auto& [number, highest] : segments_) {
            highest = log_index(0);
        }
    }
    auto& highest = segments_[member_.last_segment];
    for (const auto& entry : record.entries) {
        highest = std::max(highest, entry.index);
        last_ = entry.index;
    }
}

auto log_store::first_record() const -> log_record
{
    auto record = log_record{};
    record.state = state_;
    record.previous = last_;
    return record;
}

auto log_store::start_segment(std::uint64_t number, const log_record& first)
    -> void
{
    if (has_refused_write_) {
        // Only the last segment may end with an incomplete record.
        cut_refused_write();
        sync(descriptor_);
    }
    const auto framed = frame_record(next_sequence_, encode(first));
    const auto descriptor = hooks_.open(segment_path(number));
    try {
        // An earlier attempt may have left part of a record.
        hooks_.truncate(descriptor, 0);
        hooks_.write(descriptor, framed);
        sync(descriptor);
        sync_directory();
    } catch (...) {
        hooks_.close(descriptor);
        throw;
    }
    close_segment();
    descriptor_ = descriptor;
    ++next_sequence_;
    segment_size_ = framed.size();
    segments_[number] = log_index(0);
    member_.last_segment = number;
    is_member_file_outdated_ = true;
    write_member();
}

auto log_store::open_segment(std::uint64_t number) -> void
{
    descriptor_ = hooks_.open(segment_path(number));
}

auto log_store::close_segment() noexcept -> void
{
    if (descriptor_ >= 0) {
        hooks_.close(std::exchange(descriptor_, -1));
    }
}

auto log_store::remove_covered_segments() -> void
{
    auto is_any_removed = false;
    while (segments_.size() > 1 && segments_.begin()->second <= snapshot_index_)
    {
        hooks_.remove(segment_path(segments_.begin()->first));
        segments_.erase(segments_.begin());
        is_any_removed = true;
    }
    if (is_any_removed) {
        sync_directory();
    }
}

auto log_store::write_member() -> void
{
    replace_file(options_.directory / "member",
                 frame_record(0, encode(member_)));
    is_member_file_outdated_ = false;
}

auto log_store::replace_file(const std::filesystem::path& path,
                             std::string_view bytes) -> void
{
    auto temporary = path;
    temporary += ".tmp";
    {
        const auto descriptor = hooks_.open(temporary);
        const auto guard = open_file_guard(hooks_, descriptor);
        // An earlier attempt may have left part of the file.
        hooks_.truncate(descriptor, 0);
        try {
            hooks_.write(descriptor, bytes);
        } catch (const std::system_error&) {
            // Gives back the room that the file takes.
            hooks_.truncate(descriptor, 0);
            throw;
        }
        sync(descriptor);
    }
    hooks_.rename(temporary, path);
    sync_directory();
}

auto log_store::segment_path(std::uint64_t number) const
    -> std::filesystem::path
{
    // Zero-padded, so that names sort like numbers.
    constexpr auto longest_name = std::size_t{40};
    auto name = std::array<char, longest_name>{};
    std::snprintf(name.data(), name.size(), "segment-%020llu",
                  static_cast<unsigned long long>(number));
    return options_.directory / name.data();
}

} // namespace rhubarbrun::detail
