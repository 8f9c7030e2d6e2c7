#ifndef RHUBARBRUN_TESTS_TRANSPORT_VOLATILE_DISK_HPP
#define RHUBARBRUN_TESTS_TRANSPORT_VOLATILE_DISK_HPP

#include <rhubarbrun/transport/file_hooks.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <string>

namespace rhubarbrun::test {

/// Stands for the end of the process at a file operation.
struct simulated_crash
{
};

/// The files of one directory together with what a power failure would leave
/// of them: of each file the bytes at its last sync, under the names at the
/// last sync of the directory.
class volatile_disk
{
public:
    explicit volatile_disk(std::filesystem::path directory)
        : directory_(std::move(directory))
    {
    }

    auto hooks() -> file_hooks
    {
        const auto system = system_file_hooks();
        auto result = system;
        result.open = [this, system](const std::filesystem::path& path) {
            count();
            const auto descriptor = system.open(path);
            auto& file = names_[path.filename()];
            if (!file) {
                file = std::make_shared<std::string>();
            }
            open_[descriptor] = {path.filename(), file};
            return descriptor;
        };
        result.write = [this, system](int file, std::string_view bytes) {
            if (is_due()) {
                system.write(file, bytes.substr(0, bytes.size() / 2));
                throw simulated_crash{};
            }
            system.write(file, bytes);
        };
        result.sync = [this](int file) {
            count();
            if (!ignores_syncs) {
                const auto& [name, synced] = open_.at(file);
                *synced = contents(name);
            }
        };
        result.rename = [this, system](const std::filesystem::path& from,
                                       const std::filesystem::path& to) {
            count();
            // ext4 writes data out when a rename replaces a file, which made
            // the tests several times slower.
            std::filesystem::remove(to);
            system.rename(from, to);
            names_[to.filename()] = names_.at(from.filename());
            names_.erase(from.filename());
        };
        result.remove = [this, system](const std::filesystem::path& path) {
            count();
            system.remove(path);
            names_.erase(path.filename());
        };
        result.truncate = [this, system](int file, std::uint64_t size) {
            count();
            system.truncate(file, size);
        };
        result.sync_directory = [this](const std::filesystem::path& path) {
            count();
            if (path == directory_ && !ignores_directory_syncs) {
                durable_names_ = names_;
            }
        };
        return result;
    }

    /// Throws `simulated_crash` at the operation after `operations` more; of a
    /// write, half is done.
    auto crash_after(std::size_t operations) -> void
    {
        crash_at_ = operations_ + operations + 1;
    }

    auto stop_crashing() -> void { crash_at_ = 0; }

    /// Puts everything that was not synced back.
    auto lose_power() -> void
    {
        for (const auto& [name, file] : names_) {
            std::filesystem::remove(directory_ / name);
        }
        for (const auto& [name, file] : durable_names_) {
            std::ofstream(directory_ / name, std::ios::binary) << *file;
        }
        names_ = durable_names_;
    }

    /// Faults that show that a check finds what they cause.
    bool ignores_syncs = false;
    bool ignores_directory_syncs = false;

private:
    /// Bytes of a file at its last sync.
    using synced_bytes = std::shared_ptr<std::string>;

    auto contents(const std::string& name) const -> std::string
    {
        auto in = std::ifstream(directory_ / name, std::ios::binary);
        return {std::istreambuf_iterator<char>(in), {}};
    }

    auto is_due() -> bool { return ++operations_ == crash_at_; }

    auto count() -> void
    {
        if (is_due()) {
            throw simulated_crash{};
        }
    }

    std::filesystem::path directory_;
    std::map<std::string, synced_bytes> names_;
    std::map<std::string, synced_bytes> durable_names_;
    std::map<int, std::pair<std::string, synced_bytes>> open_;
    std::size_t operations_ = 0;
    std::size_t crash_at_ = 0;
};

} // namespace rhubarbrun::test

#endif
