#include "managed_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <system_error>
#include <utility>

namespace rhubarbrun_soak {

managed_process::managed_process(std::filesystem::path program,
                                 std::string role,
                                 std::filesystem::path settings,
                                 std::filesystem::path log)
    : program_(std::move(program)),
      role_(std::move(role)),
      settings_(std::move(settings)),
      log_(std::move(log))
{
}

managed_process::~managed_process()
{
    if (process_ > 0) {
        signal(SIGKILL);
        waitpid(process_, nullptr, 0);
    }
}

auto managed_process::has_spoken() const -> bool
{
    auto missing = std::error_code();
    const auto size = std::filesystem::file_size(log_, missing);
    return !missing && size > log_size_;
}

auto managed_process::start() -> void
{
    ++starts_;
    auto missing = std::error_code();
    const auto size = std::filesystem::file_size(log_, missing);
    log_size_ = missing ? 0 : size;
    auto variable = "RHUBARBRUN_NODE_FILE=" + settings_.string();
    auto program = program_.string();
    auto arguments =
        std::array<char*, 3>{program.data(), role_.data(), nullptr};
    auto environment = std::array<char*, 2>{variable.data(), nullptr};
    auto actions = posix_spawn_file_actions_t{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The program must not keep the soak's own sockets open.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const auto error =
        posix_spawn(&process_, program.c_str(), &actions, nullptr,
                    arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        process_ = 0;
        throw std::system_error(error, std::generic_category(), program);
    }
}

auto managed_process::signal(int number) -> void
{
    if (process_ > 0) {
        kill(process_, number);
    }
}

auto managed_process::set_disk_full(bool is_full) -> void
{
    if (process_ > 0) {
        auto limit = rlimit{is_full ? 0 : RLIM_INFINITY, RLIM_INFINITY};
        prlimit(process_, RLIMIT_FSIZE, &limit, nullptr);
    }
}

auto managed_process::poll_end() -> std::optional<int>
{
    auto status = 0;
    if (process_ > 0 && waitpid(process_, &status, WNOHANG) == process_) {
        process_ = 0;
        return status;
    }
    return std::nullopt;
}

} // namespace rhubarbrun_soak
