#include "base/split.h"

#include <algorithm>

namespace sycamorewinch {

auto split_commas(std::string_view text) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = std::min(text.find(','), text.size());
        parts.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

} // namespace sycamorewinch
