#ifndef RHUBARBRUN_TRANSPORT_SERVER_CACHE_HPP
#define RHUBARBRUN_TRANSPORT_SERVER_CACHE_HPP

#include <rhubarbrun/state/server_record.hpp>
#include <rhubarbrun/transport/file_hooks.hpp>

#include <filesystem>
#include <vector>

namespace rhubarbrun::inline v1 {

/// File with the servers that a control member knew last, so that it need not
/// wait for announcements after a restart. The records are only hints: a
/// connection is accepted only by the server that a record names.
class server_cache
{
public:
    explicit server_cache(std::filesystem::path file,
                          file_hooks hooks = system_file_hooks());

    /// The saved records; none if there is no file or it is damaged, which is
    /// logged.
    [[nodiscard]] auto load() const -> std::vector<server_record>;

    /// Replaces the file. Returns false on a failure, which is logged when the
    /// first one follows a success.
    [[nodiscard]] auto save(const std::vector<server_record>& records) -> bool;

private:
    std::filesystem::path file_;
    file_hooks hooks_;
    bool is_failing_ = false;
};

} // namespace rhubarbrun::inline v1

#endif
