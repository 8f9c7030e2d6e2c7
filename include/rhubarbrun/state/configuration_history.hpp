#ifndef RHUBARBRUN_STATE_CONFIGURATION_HISTORY_HPP
#define RHUBARBRUN_STATE_CONFIGURATION_HISTORY_HPP

#include <rhubarbrun/state/promotion_record.hpp>
#include <rhubarbrun/state/strict_archive.hpp>

#include <cereal/types/string.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// A configuration as it was submitted: its number, which is at least 1, and
/// its document, which is compressed and not parsed here.
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
/// version, and the newest record of promotions of each group. A document under
/// a version that is not higher changes nothing, whatever it holds, so that
/// repeated and reordered submissions are harmless.
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

    /// Newest records, by group.
    [[nodiscard]] auto promotions() const noexcept
        -> const std::map<group_id, promotion_record>&
    {
        return promotions_;
    }

    /// Encodes a document as a command of the log.
    [[nodiscard]] static auto encode(const configuration_document& document)
        -> std::string;

    /// Encodes a record as a command, which is a document of the version 0 that
    /// earlier versions of this program ignore.
    [[nodiscard]] static auto encode(const promotion_record& record)
        -> std::string;

    /// The record that a command holds; no value if it holds a configuration.
    /// @throws decode_error if the command is malformed.
    [[nodiscard]] static auto decode_promotions(std::string_view command)
        -> std::optional<promotion_record>;

    /// The state for a snapshot.
    [[nodiscard]] auto save() const -> std::string;

    /// Replaces the state by that of a snapshot; the empty text stands for the
    /// initial state.
    /// @throws decode_error if the bytes are malformed.
    auto load(std::string_view bytes) -> void;

private:
    configuration_document newest_;
    std::map<group_id, promotion_record> promotions_;
};

} // namespace rhubarbrun::inline v1

#endif
