#ifndef RHUBARBRUN_STATE_STRICT_ARCHIVE_HPP
#define RHUBARBRUN_STATE_STRICT_ARCHIVE_HPP

#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/vector.hpp>

#include <array>
#include <bit>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace rhubarbrun::inline v1 {

/// The input of a strict_input_archive does not hold the expected value.
class decode_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Writes numbers with the least significant byte first.
class strict_output_archive
    : public cereal::OutputArchive<strict_output_archive,
                                   cereal::AllowEmptyClassElision>
{
public:
    strict_output_archive() : OutputArchive(this) {}

    auto write(const void* data, std::size_t size) -> void
    {
        bytes_.append(static_cast<const char*>(data), size);
    }

    [[nodiscard]] auto take() -> std::string { return std::move(bytes_); }

private:
    std::string bytes_;
};

/// Reads what strict_output_archive wrote, from input that is not trusted.
///
/// A container size is accepted only if that many bytes are left, and vectors
/// grow as their elements are read, so that a short input cannot cause a large
/// allocation.
class strict_input_archive
    : public cereal::InputArchive<strict_input_archive,
                                  cereal::AllowEmptyClassElision>
{
public:
    explicit strict_input_archive(std::string_view bytes)
        : InputArchive(this), bytes_(bytes)
    {
    }

    /// @throws decode_error if fewer than `size` bytes are left.
    auto read(void* data, std::size_t size) -> void
    {
        if (size > bytes_.size()) {
            throw decode_error("the message ends early");
        }
        bytes_.copy(static_cast<char*>(data), size);
        bytes_.remove_prefix(size);
    }

    [[nodiscard]] auto left() const noexcept -> std::size_t
    {
        return bytes_.size();
    }

private:
    std::string_view bytes_;
};

static_assert(std::endian::native == std::endian::little,
              "the archives copy numbers in the byte order of the machine");

template <class Value>
requires std::is_arithmetic_v<Value>
auto CEREAL_SAVE_FUNCTION_NAME(strict_output_archive& archive,
                               const Value& value) -> void
{
    archive.write(&value, sizeof(value));
}

template <class Value>
requires std::is_arithmetic_v<Value>
auto CEREAL_LOAD_FUNCTION_NAME(strict_input_archive& archive, Value& value)
    -> void
{
    if constexpr (std::same_as<Value, bool>) {
        auto byte = std::uint8_t{};
        archive.read(&byte, sizeof(byte));
        if (byte > 1) {
            throw decode_error("a truth value is neither 0 nor 1");
        }
        value = byte == 1;
    } else {
        archive.read(&value, sizeof(value));
    }
}

template <class Value>
auto CEREAL_SERIALIZE_FUNCTION_NAME(strict_output_archive& archive,
                                    cereal::NameValuePair<Value>& pair) -> void
{
    archive(pair.value);
}

template <class Value>
auto CEREAL_SERIALIZE_FUNCTION_NAME(strict_input_archive& archive,
                                    cereal::NameValuePair<Value>& pair) -> void
{
    archive(pair.value);
}

template <class Value>
auto CEREAL_SAVE_FUNCTION_NAME(strict_output_archive& archive,
                               const cereal::SizeTag<Value>& tag) -> void
{
    const auto size = static_cast<std::uint32_t>(tag.size);
    archive.write(&size, sizeof(size));
}

template <class Value>
auto CEREAL_LOAD_FUNCTION_NAME(strict_input_archive& archive,
                               cereal::SizeTag<Value>& tag) -> void
{
    auto size = std::uint32_t{};
    archive.read(&size, sizeof(size));
    if (size > archive.left()) {
        throw decode_error("a container is larger than the message");
    }
    tag.size = size;
}

template <class Value>
auto CEREAL_SAVE_FUNCTION_NAME(strict_output_archive& archive,
                               const cereal::BinaryData<Value>& data) -> void
{
    archive.write(data.data, static_cast<std::size_t>(data.size));
}

template <class Value>
auto CEREAL_LOAD_FUNCTION_NAME(strict_input_archive& archive,
                               cereal::BinaryData<Value>& data) -> void
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

/// Reads a vector element by element, so that memory grows with the input.
template <class Value, class Allocator>
requires(!std::is_arithmetic_v<Value>) auto CEREAL_LOAD_FUNCTION_NAME(
    strict_input_archive& archive, std::vector<Value, Allocator>& values)
    -> void
{
    auto size = cereal::size_type{};
    archive(cereal::make_size_tag(size));
    values.clear();
    for (auto index = cereal::size_type{}; index < size; ++index) {
        archive(values.emplace_back());
    }
}

/// Bytes of `value`.
template <class Value>
[[nodiscard]] auto encode(const Value& value) -> std::string
{
    auto archive = strict_output_archive();
    archive(value);
    return archive.take();
}

/// The value in `bytes`; no value if they are truncated, hold trailing bytes,
/// or break a rule that `is_well_formed(value)` checks.
template <class Value>
[[nodiscard]] auto decode(std::string_view bytes) -> std::optional<Value>
{
    try {
        auto archive = strict_input_archive(bytes);
        auto value = Value{};
        archive(value);
        if (archive.left() != 0) {
            return std::nullopt;
        }
        if constexpr (requires { is_well_formed(value); }) {
            if (!is_well_formed(value)) {
                return std::nullopt;
            }
        }
        return value;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace rhubarbrun::inline v1

CEREAL_REGISTER_ARCHIVE(rhubarbrun::strict_output_archive)
CEREAL_REGISTER_ARCHIVE(rhubarbrun::strict_input_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(rhubarbrun::strict_input_archive,
                            rhubarbrun::strict_output_archive)

#endif
