#ifndef RHUBARBRUN_SRC_TRANSPORT_LOG_STORE_HPP
#define RHUBARBRUN_SRC_TRANSPORT_LOG_STORE_HPP

#include <rhubarbrun/transport/log_files.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "log_records.hpp"

namespace rhubarbrun::detail {

/// Exclusive lock of a data directory, held until destruction.
class directory_lock
{
public:
    /// Creates the directory if it does not exist.
    explicit directory_lock(const std::filesystem::path& directory);
    directory_lock(const directory_lock&) = delete;
    auto operator=(const directory_lock&) -> directory_lock& = delete;
    ~directory_lock();

private:
    int descriptor_;
};

/// Implementation of `log_files`, which documents the interface.
class log_store
{
public:
    log_store(log_files_options options, const random_function& random,
              file_hooks hooks);
    log_store(const log_store&) = delete;
    auto operator=(const log_store&) -> log_store& = delete;
    ~log_store();

    [[nodiscard]] auto identity() const noexcept -> const member_identity&
    {
        return member_.identity;
    }
    [[nodiscard]] auto take_stored() -> stored_log;
    [[nodiscard]] auto torn_bytes() const noexcept { return torn_bytes_; }
    auto save(const consensus_ready& ready) -> void;

private:
    // log_recovery.cpp
    auto recover(const random_function& random) -> void;
    auto remove_temporary_files() -> void;
    auto create_member(const random_function& random) -> void;
    auto read_member() -> void;
    auto read_snapshot() -> void;
    auto list_segments() -> void;
    auto skip_replaced_segments() -> void;
    auto read_segment(std::uint64_t number) -> void;
    auto cut_tail(std::uint64_t number, std::string_view bytes,
                  std::size_t offset) -> void;
    auto replay(std::uint64_t number, std::size_t offset,
                const framed_record& framed) -> void;
    auto replay_entry(std::uint64_t number, std::size_t offset, log_entry entry)
        -> void;
    auto join_snapshot_and_entries() -> void;
    [[nodiscard]] auto read_file(const std::filesystem::path& path,
                                 std::size_t limit) const -> std::string;

    // log_store.cpp
    auto save_batch(const consensus_ready& ready) -> void;
    auto save_snapshot(const log_snapshot& snapshot) -> void;
    auto append(log_record record) -> void;
    auto note_written(const log_record& record) -> void;
    /// Each segment begins with the hard state, so that older ones can be
    /// removed.
    [[nodiscard]] auto first_record() const -> log_record;
    auto start_segment(std::uint64_t number, const log_record& first) -> void;
    auto open_segment(std::uint64_t number) -> void;
    auto close_segment() noexcept -> void;
    /// Removes what a refused write left behind the last whole record.
    auto cut_refused_write() -> void;
    /// Syncs a file. No error of a sync counts as a full disk, because it
    /// leaves unknown what earlier writes became.
    auto sync(int descriptor) -> void;
    auto sync_directory() -> void;
    auto remove_covered_segments() -> void;
    auto write_member() -> void;
    auto replace_file(const std::filesystem::path& path, std::string_view bytes)
        -> void;
    [[nodiscard]] auto segment_path(std::uint64_t number) const
        -> std::filesystem::path;

    log_files_options options_;
    file_hooks hooks_;
    directory_lock lock_;
    member_record member_;
    stored_log stored_;
    hard_state state_;
    log_index snapshot_index_;
    /// Highest entry index in each segment, by segment number.
    std::map<std::uint64_t, log_index> segments_;
    /// Segments before a gap; removed once the rest proved to be complete.
    std::vector<std::uint64_t> stale_segments_;
    /// Last index of the log.
    log_index last_;
    int descriptor_ = -1;
    std::size_t segment_size_ = 0;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t torn_bytes_ = 0;
    /// The segment may end with part of a record whose write was refused.
    bool has_refused_write_ = false;
    /// The member file names an earlier segment than the last one.
    bool is_member_file_outdated_ = false;
    /// Why the store refuses further work, or empty.
    std::string failure_;
};

} // namespace rhubarbrun::detail

#endif
