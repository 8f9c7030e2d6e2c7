#include <rhubarbrun/transport/server_cache.hpp>

#include <rhubarbrun/protocol/view_messages.hpp>
#include <rhubarbrun/transport/event_log.hpp>

#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace rhubarbrun::inline v1 {

server_cache::server_cache(std::filesystem::path file, file_hooks hooks)
    : file_(std::move(file)), hooks_(std::move(hooks))
{
    auto ignored = std::error_code();
    std::filesystem::create_directories(file_.parent_path(), ignored);
}

auto server_cache::load() const -> std::vector<server_record>
{
    auto input = std::ifstream(file_, std::ios::binary);
    if (!input) {
        return {};
    }
    const auto bytes = std::string(std::istreambuf_iterator<char>(input), {});
    auto saved = decode<server_announcements>(bytes);
    if (!saved) {
        log_event("server_cache_damaged", event_severity::warning)
            .field("bytes", bytes.size());
        return {};
    }
    std::erase_if(saved->records,
                  [](const auto& each) { return !each.is_usable(); });
    return std::move(saved->records);
}

auto server_cache::save(const std::vector<server_record>& records) -> bool
{
    auto next = file_;
    next += ".new";
    try {
        auto ignored = std::error_code();
        std::filesystem::remove(next, ignored);
        const auto descriptor = hooks_.open(next);
        try {
            hooks_.write(descriptor, encode(server_announcements{records}));
            // Without it, a loss of power could leave an empty file behind
            // the new name.
            hooks_.sync(descriptor);
        } catch (...) {
            hooks_.close(descriptor);
            throw;
        }
        hooks_.close(descriptor);
        hooks_.rename(next, file_);
        is_failing_ = false;
    } catch (const std::system_error& fault) {
        if (!std::exchange(is_failing_, true)) {
            log_event("server_cache_not_saved", event_severity::warning)
                .field("reason", fault.what());
        }
        auto ignored = std::error_code();
        std::filesystem::remove(next, ignored);
    }
    return !is_failing_;
}

} // namespace rhubarbrun::inline v1
