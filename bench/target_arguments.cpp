#include "target_arguments.hpp"

#include <charconv>
#include <stdexcept>

namespace rhubarbrun::bench {

argument_list::argument_list(int count, char** arguments)
{
    for (auto index = 1; index < count; ++index) {
        const auto argument = std::string_view(arguments[index]);
        const auto equals = argument.find('=');
        if (!argument.starts_with("--") || equals == std::string_view::npos) {
            throw std::invalid_argument("argument " + std::string(argument) +
                                        " has not the form --name=value");
        }
        const auto name = std::string(argument.substr(2, equals - 2));
        values_[name] = argument.substr(equals + 1);
        is_used_[name] = false;
    }
}

auto argument_list::text(const std::string& name, const std::string& fallback)
    -> std::string
{
    const auto found = values_.find(name);
    if (found == values_.end()) {
        return fallback;
    }
    is_used_[name] = true;
    return found->second;
}

auto argument_list::number(const std::string& name, std::int64_t fallback)
    -> std::int64_t
{
    const auto value = text(name, std::to_string(fallback));
    auto result = std::int64_t{0};
    const auto* end = value.data() + value.size();
    const auto [parsed, failure] = std::from_chars(value.data(), end, result);
    if (failure != std::errc{} || parsed != end) {
        throw std::invalid_argument("--" + name + " must be a whole number");
    }
    return result;
}

auto argument_list::list(const std::string& name) -> std::vector<std::string>
{
    return split_list(text(name, ""), ',');
}

auto argument_list::expect_all_used() const -> void
{
    for (const auto& [name, is_used] : is_used_) {
        if (!is_used) {
            throw std::invalid_argument("option --" + name + " is not known");
        }
    }
}

auto split_list(std::string_view text, char separator)
    -> std::vector<std::string>
{
    auto parts = std::vector<std::string>{};
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        if (end > 0) {
            parts.emplace_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

} // namespace rhubarbrun::bench
