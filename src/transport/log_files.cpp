#include <rhubarbrun/transport/log_files.hpp>

#include <utility>

#include "log_store.hpp"

namespace rhubarbrun::inline v1 {

log_corrupt_error::log_corrupt_error(std::filesystem::path file,
                                     std::uint64_t offset,
                                     const std::string& problem,
                                     const std::string& remedy)
    : std::runtime_error(file.string() + " at offset " +
                         std::to_string(offset) + ": " + problem +
                         "; remedy: " + remedy),
      file_(std::move(file)),
      offset_(offset)
{
}

log_files::log_files(log_files_options options, const random_function& random,
                     file_hooks hooks)
    : store_(std::make_unique<detail::log_store>(std::move(options), random,
                                                 std::move(hooks)))
{
}

log_files::log_files(log_files&&) noexcept = default;

auto log_files::operator=(log_files&&) noexcept -> log_files& = default;

log_files::~log_files() = default;

auto log_files::identity() const noexcept -> const member_identity&
{
    return store_->identity();
}

auto log_files::take_stored() -> stored_log
{
    return store_->take_stored();
}

auto log_files::torn_bytes() const noexcept -> std::uint64_t
{
    return store_->torn_bytes();
}

auto log_files::save(const consensus_ready& ready) -> void
{
    store_->save(ready);
}

} // namespace rhubarbrun::inline v1
