#include <rhubarbrun/state/configuration_history.hpp>

#include <cereal/types/vector.hpp>

#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

namespace {

/// State with records; without any, a snapshot is the document alone.
struct history_snapshot
{
    configuration_document newest;
    std::vector<promotion_record> promotions;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(newest, promotions);
    }
};

auto decode_document(std::string_view bytes) -> configuration_document
{
    auto document = decode<configuration_document>(bytes);
    if (!document) {
        throw decode_error("malformed configuration document");
    }
    return std::move(*document);
}

auto to_record(const configuration_document& document)
    -> std::optional<promotion_record>
{
    if (document.version > 0) {
        return std::nullopt;
    }
    auto record = decode<promotion_record>(document.packed);
    if (!record) {
        throw decode_error("malformed record of promotions");
    }
    return record;
}

} // namespace

auto configuration_history::apply(std::string_view command) -> bool
{
    auto document = decode_document(command);
    if (auto record = to_record(document)) {
        promotions_[record->group] = std::move(*record);
        return false;
    }
    if (document.version <= newest_.version) {
        return false;
    }
    newest_ = std::move(document);
    return true;
}

auto configuration_history::encode(const configuration_document& document)
    -> std::string
{
    return rhubarbrun::encode(document);
}

auto configuration_history::encode(const promotion_record& record)
    -> std::string
{
    return encode(configuration_document{0, rhubarbrun::encode(record)});
}

auto configuration_history::decode_promotions(std::string_view command)
    -> std::optional<promotion_record>
{
    return to_record(decode_document(command));
}

auto configuration_history::save() const -> std::string
{
    if (promotions_.empty()) {
        return encode(newest_);
    }
    auto snapshot = history_snapshot{newest_, {}};
    for (const auto& [group, record] : promotions_) {
        snapshot.promotions.push_back(record);
    }
    return rhubarbrun::encode(snapshot);
}

auto configuration_history::load(std::string_view bytes) -> void
{
    promotions_.clear();
    if (auto snapshot = decode<history_snapshot>(bytes)) {
        newest_ = std::move(snapshot->newest);
        for (auto& record : snapshot->promotions) {
            promotions_[record.group] = std::move(record);
        }
        return;
    }
    newest_ = bytes.empty() ? configuration_document{} : decode_document(bytes);
}

} // namespace rhubarbrun::inline v1
