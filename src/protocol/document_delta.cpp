#include <rhubarbrun/protocol/document_delta.hpp>

#include <rhubarbrun/protocol/strict_archive.hpp>
#include <rhubarbrun/protocol/text_compression.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace rhubarbrun::inline v1 {

namespace {

/// Pieces of the base, then text that the base lacks.
struct delta_part
{
    std::uint32_t first = 0;
    std::uint32_t count = 0;
    std::string text;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(first, count, text);
    }
};

struct delta_document
{
    std::uint64_t base_hash = 0;
    std::uint64_t target_hash = 0;
    std::vector<delta_part> parts;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(base_hash, target_hash, parts);
    }
};

/// FNV-1a; it detects accidents and no more.
auto hash_of(std::string_view text) -> std::uint64_t
{
    auto hash = std::uint64_t{0xcbf29ce484222325U};
    for (const auto letter : text) {
        hash ^= static_cast<unsigned char>(letter);
        hash *= 0x100000001b3U;
    }
    return hash;
}

auto split(std::string_view text) -> std::vector<std::string_view>
{
    auto pieces = std::vector<std::string_view>();
    while (!text.empty()) {
        const auto end = text.find('}');
        const auto length =
            end == std::string_view::npos ? text.size() : end + 1;
        pieces.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return pieces;
}

} // namespace

auto make_delta(std::string_view base, std::string_view target) -> std::string
{
    const auto known = split(base);
    auto places = std::unordered_map<std::string_view, std::uint32_t>();
    for (auto index = std::uint32_t{0}; index < known.size(); ++index) {
        places.try_emplace(known[index], index);
    }
    auto delta = delta_document{hash_of(base), hash_of(target), {{}}};
    for (const auto& piece : split(target)) {
        auto& last = delta.parts.back();
        const auto next = std::size_t{last.first} + last.count;
        if (last.text.empty() && last.count > 0 && next < known.size() &&
            known[next] == piece)
        {
            ++last.count;
            continue;
        }
        const auto place = places.find(piece);
        if (place == places.end()) {
            last.text += piece;
        } else if (last.text.empty() && last.count == 0) {
            last.first = place->second;
            last.count = 1;
        } else {
            delta.parts.push_back({place->second, 1, {}});
        }
    }
    return encode(delta);
}

auto apply_delta(std::string_view base, std::string_view delta)
    -> std::optional<std::string>
{
    const auto document = decode<delta_document>(delta);
    if (!document || document->base_hash != hash_of(base)) {
        return std::nullopt;
    }
    const auto known = split(base);
    auto target = std::string();
    for (const auto& part : document->parts) {
        const auto end = std::size_t{part.first} + part.count;
        if (end > known.size()) {
            return std::nullopt;
        }
        for (auto index = std::size_t{part.first}; index < end; ++index) {
            target += known[index];
        }
        target += part.text;
        if (target.size() > largest_compressed_text) {
            return std::nullopt;
        }
    }
    return document->target_hash == hash_of(target)
               ? std::optional(std::move(target))
               : std::nullopt;
}

} // namespace rhubarbrun::inline v1
