#ifndef RHUBARBRUN_PROTOCOL_DOCUMENT_DELTA_HPP
#define RHUBARBRUN_PROTOCOL_DOCUMENT_DELTA_HPP

#include <optional>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// What turns one text into another: copied parts of the first one, and parts
/// that it lacks. Texts are compared in pieces that end with a closing brace,
/// as the entries of a JSON list do, so that a change of one entry costs about
/// the size of that entry.
[[nodiscard]] auto make_delta(std::string_view base, std::string_view target)
    -> std::string;

/// Applies a delta; no value if it is damaged or was made for another base.
[[nodiscard]] auto apply_delta(std::string_view base, std::string_view delta)
    -> std::optional<std::string>;

} // namespace rhubarbrun::inline v1

#endif
