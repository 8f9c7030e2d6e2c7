#ifndef RHUBARBRUN_STATE_CONFIGURATION_HISTORY_HPP
#define RHUBARBRUN_STATE_CONFIGURATION_HISTORY_HPP

#include <rhubarbrun/state/strict_archive.hpp>

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// A configuration as it was submitted: its number and its document, which is
/// compressed and not parsed here.
struct configuration_document
{
    std::uint64_t version = 0;
    std::string packed;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(version, packed);
    }
};

/// Replicated state machine that keeps the configuration with the highest
/// version. A document under a version that is not higher changes nothing,
/// whatever it holds, so that repeated and reordered submissions are harmless.
class configuration_history
{
public:
    /// Applies one command of the log; returns whether the document is now in
    /// force.
    /// @throws decode_error if the command is malformed.
    auto apply(std::string_view command) -> bool;

    [[nodiscard]] auto newest() const noexcept -> const configuration_document&
    {
        return newest_;
    }

    /// Encodes a document as a command of the log.
    [[nodiscard]] static auto encode(const configuration_document& document)
        -> std::string;

    /// The state for a snapshot.
    [[nodiscard]] auto save() const -> std::string { return encode(newest_); }

    /// Replaces the state by that of a snapshot; the empty text stands for the
    /// initial state.
    /// @throws decode_error if the bytes are malformed.
    auto load(std::string_view bytes) -> void;

private:
    configuration_document newest_;
};

} // namespace rhubarbrun::inline v1

#endif
