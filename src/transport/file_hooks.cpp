#include <rhubarbrun/transport/file_hooks.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <string>
#include <system_error>

namespace rhubarbrun::inline v1 {

namespace {

/// Only the account of the process reads and writes the log.
constexpr auto file_mode = mode_t{0600};

[[noreturn]] auto throw_errno(const std::string& what) -> void
{
    throw std::system_error(errno, std::generic_category(), what);
}

auto open_file(const std::filesystem::path& path) -> int
{
    const auto descriptor = ::open(
        path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    if (descriptor < 0) {
        throw_errno("open " + path.string());
    }
    return descriptor;
}

auto write_file(int descriptor, std::string_view bytes) -> void
{
    while (!bytes.empty()) {
        const auto written = ::write(descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            throw_errno("write");
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
}

auto sync_file(int descriptor) -> void
{
    // Never repeated: the kernel may have dropped the pages that failed.
    if (::fsync(descriptor) != 0) {
        throw_errno("fsync");
    }
}

auto truncate_file(int descriptor, std::uint64_t size) -> void
{
    if (::ftruncate(descriptor, static_cast<off_t>(size)) != 0) {
        throw_errno("ftruncate");
    }
}

auto sync_directory(const std::filesystem::path& path) -> void
{
    const auto descriptor =
        ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        throw_errno("open " + path.string());
    }
    const auto result = ::fsync(descriptor);
    const auto error = errno;
    ::close(descriptor);
    if (result != 0) {
        errno = error;
        throw_errno("fsync " + path.string());
    }
}

} // namespace

auto system_file_hooks() -> file_hooks
{
    auto hooks = file_hooks{};
    hooks.open = open_file;
    hooks.write = write_file;
    hooks.sync = sync_file;
    hooks.close = [](int descriptor) {
        ::close(descriptor);
    };
    hooks.rename = [](const std::filesystem::path& from,
                      const std::filesystem::path& to) {
        std::filesystem::rename(from, to);
    };
    hooks.remove = [](const std::filesystem::path& path) {
        std::filesystem::remove(path);
    };
    hooks.truncate = truncate_file;
    hooks.sync_directory = sync_directory;
    return hooks;
}

} // namespace rhubarbrun::inline v1
