#ifndef RHUBARBRUN_PROTOCOL_TEXT_COMPRESSION_HPP
#define RHUBARBRUN_PROTOCOL_TEXT_COMPRESSION_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Largest text that `decompress_text` restores, in bytes.
inline constexpr auto largest_compressed_text = std::size_t{16} * 1024 * 1024;

/// Compresses a text with zlib; the result begins with its length.
/// @throws std::runtime_error if zlib fails.
[[nodiscard]] auto compress_text(std::string_view text) -> std::string;

/// Restores a text.
/// @throws std::runtime_error if the bytes are damaged or the text is larger
/// than `largest_compressed_text`.
[[nodiscard]] auto decompress_text(std::string_view bytes) -> std::string;

} // namespace rhubarbrun::inline v1

#endif
