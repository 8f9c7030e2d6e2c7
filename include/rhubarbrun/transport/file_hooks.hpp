#ifndef RHUBARBRUN_TRANSPORT_FILE_HOOKS_HPP
#define RHUBARBRUN_TRANSPORT_FILE_HOOKS_HPP

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// The file operations that change storage, so that tests can fail each.
///
/// Every function throws `std::system_error` on failure.
struct file_hooks
{
    /// Opens a file for appending and creates it if it does not exist.
    std::function<int(const std::filesystem::path&)> open;
    /// Writes all bytes at the end of the file.
    std::function<void(int, std::string_view)> write;
    /// Makes the contents of the file durable.
    std::function<void(int)> sync;
    /// Closes the file; does not fail.
    std::function<void(int)> close;
    /// Replaces the second path by the first.
    std::function<void(const std::filesystem::path&,
                       const std::filesystem::path&)>
        rename;
    std::function<void(const std::filesystem::path&)> remove;
    /// Shortens the file to a size in bytes.
    std::function<void(int, std::uint64_t)> truncate;
    /// Makes creations, renames and removals in the directory durable.
    std::function<void(const std::filesystem::path&)> sync_directory;
};

/// The system's own file operations.
[[nodiscard]] auto system_file_hooks() -> file_hooks;

} // namespace rhubarbrun::inline v1

#endif
