#ifndef RHUBARBRUN_TRANSPORT_LOG_FILES_HPP
#define RHUBARBRUN_TRANSPORT_LOG_FILES_HPP

#include <rhubarbrun/coordination/consensus_ready.hpp>
#include <rhubarbrun/state/consensus_log.hpp>
#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/file_hooks.hpp>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>

namespace rhubarbrun::detail {
class log_store;
}

namespace rhubarbrun::inline v1 {

/// The data directory cannot be used: its contents are damaged or belong to
/// another member. The message names file, offset and remedy.
class log_corrupt_error : public std::runtime_error
{
public:
    log_corrupt_error(std::filesystem::path file, std::uint64_t offset,
                      const std::string& problem, const std::string& remedy);

    [[nodiscard]] auto file() const noexcept -> const std::filesystem::path&
    {
        return file_;
    }

    /// Byte offset in the file.
    [[nodiscard]] auto offset() const noexcept -> std::uint64_t
    {
        return offset_;
    }

private:
    std::filesystem::path file_;
    std::uint64_t offset_;
};

/// Another process uses the data directory.
class log_locked_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// The log cannot be made durable, because a write or a sync failed. The member
/// must stop; the object refuses all further work.
class log_storage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// The disk has no room for a batch. Nothing of the batch counts as durable; it
/// may be saved again, and no other batch may be saved before it.
class log_full_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Settings of `log_files`.
struct log_files_options
{
    std::filesystem::path directory;
    member_id member;
    /// A segment that is larger is closed and the next one begun, in bytes.
    std::size_t segment_bytes = 8UL * 1024 * 1024;
    /// Largest record that is written or read, in bytes.
    std::size_t record_bytes = 4UL * 1024 * 1024;
    /// Largest snapshot that is written or read, in bytes.
    std::size_t snapshot_bytes = 256UL * 1024 * 1024;
};

/// The consensus log, snapshot and identity of one member on disk.
///
/// docs/consensus.md describes the file layout. It is not thread-safe.
class log_files
{
public:
    /// Locks the data directory, creates it if it does not exist, and reads
    /// what it holds. A new directory gets a new incarnation from `random`.
    ///
    /// Throws `log_locked_error`, `log_corrupt_error`, `log_storage_error`, or
    /// `log_full_error` if the disk has no room for what has to be written at a
    /// start; a later attempt may succeed.
    log_files(log_files_options options, const random_function& random,
              file_hooks hooks = system_file_hooks());
    log_files(const log_files&) = delete;
    log_files(log_files&&) noexcept;
    auto operator=(const log_files&) -> log_files& = delete;
    auto operator=(log_files&&) noexcept -> log_files&;
    ~log_files();

    /// This member with the incarnation that the directory holds.
    [[nodiscard]] auto identity() const noexcept -> const member_identity&;

    /// What was read at start; to be called once.
    [[nodiscard]] auto take_stored() -> stored_log;

    /// Bytes that were cut off the last segment at start because a crash left
    /// them incomplete.
    [[nodiscard]] auto torn_bytes() const noexcept -> std::uint64_t;

    /// Makes snapshot, state and entries of a batch durable.
    ///
    /// Throws `log_full_error` if the disk has no room, and `log_storage_error`
    /// on any other failure and on every call after that.
    auto save(const consensus_ready& ready) -> void;

private:
    std::unique_ptr<detail::log_store> store_;
};

} // namespace rhubarbrun::inline v1

#endif
