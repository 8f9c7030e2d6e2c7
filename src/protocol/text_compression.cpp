#include <rhubarbrun/protocol/text_compression.hpp>

#include <rhubarbrun/protocol/strict_archive.hpp>

#include <zlib.h>

#include <cereal/types/string.hpp>

#include <cstdint>
#include <stdexcept>

namespace rhubarbrun::inline v1 {

namespace {

struct compressed_text
{
    std::uint64_t length = 0;
    std::string bytes;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(length, bytes);
    }
};

auto to_bytes(const std::string& text) -> const Bytef*
{
    return reinterpret_cast<const Bytef*>(text.data());
}

} // namespace

auto compress_text(std::string_view text) -> std::string
{
    auto packed = compressed_text{};
    packed.length = text.size();
    auto length = ::compressBound(text.size());
    packed.bytes.resize(length);
    const auto source = std::string(text);
    const auto status =
        ::compress2(reinterpret_cast<Bytef*>(packed.bytes.data()), &length,
                    to_bytes(source), source.size(), Z_DEFAULT_COMPRESSION);
    if (status != Z_OK) {
        throw std::runtime_error("zlib cannot compress a text");
    }
    packed.bytes.resize(length);
    return encode(packed);
}

auto decompress_text(std::string_view bytes) -> std::string
{
    const auto packed = decode<compressed_text>(bytes);
    if (!packed || packed->length > largest_compressed_text) {
        throw std::runtime_error("a compressed text is damaged or too large");
    }
    auto text = std::string(packed->length, '\0');
    auto length = static_cast<uLongf>(text.size());
    const auto status =
        ::uncompress(reinterpret_cast<Bytef*>(text.data()), &length,
                     to_bytes(packed->bytes), packed->bytes.size());
    if (status != Z_OK || length != text.size()) {
        throw std::runtime_error("a compressed text is damaged");
    }
    return text;
}

} // namespace rhubarbrun::inline v1
