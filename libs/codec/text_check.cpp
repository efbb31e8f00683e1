#include "codec/text_check.h"

#include <algorithm>

#include <QUtf8StringView>

namespace sycamorewinch {

auto is_utf8(std::string_view text) -> bool
{
    return QUtf8StringView(text.data(), static_cast<qsizetype>(text.size())).isValidUtf8();
}

auto foreign_name_problem(std::string_view name, std::size_t max_bytes) -> std::string_view
{
    if (name.empty()) {
        return "is empty";
    }
    if (name.size() > max_bytes) {
        return "is too long";
    }
    if (!is_utf8(name)) {
        return "is not UTF-8";
    }
    const auto is_control = [](char character) {
        return static_cast<unsigned char>(character) < ' ' || character == '\x7f';
    };
    return std::ranges::any_of(name, is_control) ? std::string_view("has a control character")
                                                 : std::string_view();
}

} // namespace sycamorewinch
