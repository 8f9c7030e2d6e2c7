#ifndef RHUBARBRUN_TRANSPORT_JSON_HPP
#define RHUBARBRUN_TRANSPORT_JSON_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace rhubarbrun::inline v1 {

/// A JSON value. Numbers are whole; a parsed number with a fraction is
/// refused.
class json_value
{
public:
    using array = std::vector<json_value>;
    /// Members keep the order of their names.
    using object = std::map<std::string, json_value, std::less<>>;

    json_value() = default;
    json_value(bool value) : content_(value) {}
    json_value(std::int64_t value) : content_(value) {}
    json_value(std::uint64_t value) : content_(static_cast<std::int64_t>(value))
    {
    }
    json_value(std::uint32_t value) : content_(std::int64_t{value}) {}
    json_value(std::uint16_t value) : content_(std::int64_t{value}) {}
    json_value(std::string value) : content_(std::move(value)) {}
    json_value(std::string_view value) : content_(std::string(value)) {}
    json_value(const char* value) : content_(std::string(value)) {}
    json_value(array value) : content_(std::move(value)) {}
    json_value(object value) : content_(std::move(value)) {}

    /// The member with this name; null if there is none or this is no object.
    [[nodiscard]] auto operator[](std::string_view name) const
        -> const json_value&;

    /// The text, or an empty one if this is no text.
    [[nodiscard]] auto text() const -> std::string;

    /// The number, or 0 if this is no number.
    [[nodiscard]] auto number() const noexcept -> std::int64_t;

    /// The truth value, or false if this is none.
    [[nodiscard]] auto truth() const noexcept -> bool;

    /// The elements, or none if this is no array.
    [[nodiscard]] auto elements() const -> const array&;

    /// The members, or none if this is no object.
    [[nodiscard]] auto members() const -> const object&;

    [[nodiscard]] auto is_null() const noexcept -> bool
    {
        return std::holds_alternative<std::monostate>(content_);
    }
    [[nodiscard]] auto is_object() const noexcept -> bool
    {
        return std::holds_alternative<object>(content_);
    }
    [[nodiscard]] auto is_text() const noexcept -> bool
    {
        return std::holds_alternative<std::string>(content_);
    }
    [[nodiscard]] auto is_number() const noexcept -> bool
    {
        return std::holds_alternative<std::int64_t>(content_);
    }
    [[nodiscard]] auto is_truth() const noexcept -> bool
    {
        return std::holds_alternative<bool>(content_);
    }
    [[nodiscard]] auto is_array() const noexcept -> bool
    {
        return std::holds_alternative<array>(content_);
    }

    /// JSON text on one line.
    [[nodiscard]] auto print() const -> std::string;

private:
    auto print(std::string& out) const -> void;

    std::variant<std::monostate, bool, std::int64_t, std::string, array, object>
        content_;
};

/// Parses JSON text of at most 32 levels; no value if it is malformed.
[[nodiscard]] auto parse_json(std::string_view text)
    -> std::optional<json_value>;

} // namespace rhubarbrun::inline v1

#endif
