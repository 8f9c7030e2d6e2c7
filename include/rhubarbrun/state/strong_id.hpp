#ifndef RHUBARBRUN_STATE_STRONG_ID_HPP
#define RHUBARBRUN_STATE_STRONG_ID_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <type_traits>
#include <utility>

namespace rhubarbrun::inline v1 {

/// A value of type `Rep` that cannot be mixed up with ids of another `Tag`.
///
/// `Rep` is an unsigned integer or `std::string`. Ids compare, hash, print and
/// serialize like their representation.
template <class Tag, class Rep>
class strong_id
{
public:
    using representation = Rep;

    constexpr strong_id() = default;

    explicit constexpr strong_id(Rep value) noexcept : value_(std::move(value))
    {
    }

    /// The representation, for printing and encoding.
    [[nodiscard]] constexpr auto value() const noexcept -> const Rep&
    {
        return value_;
    }

    /// The id that follows this one; only for integer representations.
    [[nodiscard]] constexpr auto next() const noexcept
        -> strong_id requires std::is_integral_v<Rep>
    {
        return strong_id(static_cast<Rep>(value_ + 1));
    }

    /// Whether a text id is empty; only for text representations.
    [[nodiscard]] auto is_empty() const noexcept
        -> bool requires std::is_same_v<Rep, std::string>
    {
        return value_.empty();
    }

    // Written out, because clang-tidy 14 takes the defaulted one for a use of
    // 0 as a null pointer.
    friend constexpr auto operator<=>(const strong_id& left,
                                      const strong_id& right) noexcept
        -> std::strong_ordering
    {
        return left.value_ <=> right.value_;
    }
    friend constexpr auto operator==(const strong_id&, const strong_id&)
        -> bool = default;

    friend auto operator<<(std::ostream& out, const strong_id& id)
        -> std::ostream&
    {
        return out << id.value_;
    }

    /// Serializes the representation alone.
    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(value_);
    }

private:
    Rep value_{};
};

} // namespace rhubarbrun::inline v1

template <class Tag, class Rep>
struct std::hash<rhubarbrun::strong_id<Tag, Rep>>
{
    auto operator()(const rhubarbrun::strong_id<Tag, Rep>& id) const noexcept
        -> std::size_t
    {
        return std::hash<Rep>{}(id.value());
    }
};

#endif
