#include <rhubarbrun/coordination/cancel_keys.hpp>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto count_mask = (std::uint32_t{1} << session_count_bits) - 1;
constexpr auto tag_mask = (std::uint32_t{1} << proxy_tag_bits) - 1;
constexpr auto largest_process = std::uint32_t{0x7fffffff};

} // namespace

auto proxy_tag(const proxy_id& proxy) noexcept -> std::uint32_t
{
    // FNV-1a, XOR-folded so that all bits of the hash affect the tag.
    constexpr auto offset_basis = std::uint64_t{0xcbf29ce484222325};
    constexpr auto prime = std::uint64_t{0x100000001b3};
    auto hash = offset_basis;
    for (const auto c : proxy.value()) {
        hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    }
    hash ^= hash >> 32U;
    hash ^= hash >> proxy_tag_bits;
    return static_cast<std::uint32_t>(hash) & tag_mask;
}

auto cancel_process(std::uint32_t tag, std::uint64_t session_count) noexcept
    -> std::uint32_t
{
    return ((tag & tag_mask) << session_count_bits) |
           (static_cast<std::uint32_t>(session_count) & count_mask);
}

auto cancel_key_holders(const directory& copy, const proxy_id& self,
                        std::uint32_t process) -> std::vector<proxy_id>
{
    auto result = std::vector<proxy_id>{};
    if (process > largest_process) {
        return result;
    }
    const auto tag = process >> session_count_bits;
    for (const auto& [id, record] : copy.proxies()) {
        if (id != self && proxy_tag(id) == tag) {
            result.push_back(id);
        }
    }
    return result;
}

} // namespace rhubarbrun::inline v1
