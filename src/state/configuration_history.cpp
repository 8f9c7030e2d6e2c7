#include <rhubarbrun/state/configuration_history.hpp>

#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

auto decode_document(std::string_view bytes) -> configuration_document
{
    auto document = decode<configuration_document>(bytes);
    if (!document) {
        throw decode_error("malformed configuration document");
    }
    return std::move(*document);
}

} // namespace

auto configuration_history::apply(std::string_view command) -> bool
{
    auto document = decode_document(command);
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

auto configuration_history::load(std::string_view bytes) -> void
{
    newest_ = bytes.empty() ? configuration_document{} : decode_document(bytes);
}

} // namespace rhubarbrun::inline v1
