#include "policy/path_index.h"

#include <algorithm>

namespace sycamorewinch {

void path_index::add(std::string_view prefix, std::size_t position)
{
    positions_.emplace(prefix, position);
    max_prefix_length_ = std::max(max_prefix_length_, prefix.size());
}

auto path_index::position_of(std::string_view prefix) const -> std::optional<std::size_t>
{
    const auto found = positions_.find(prefix);
    if (found == positions_.end()) {
        return std::nullopt;
    }
    return found->second;
}

// A prefix can match only at a segment boundary: at the end of the path, before a '/' or '?', or
// after a '/'.
auto path_index::find(std::string_view path) const -> std::optional<std::size_t>
{
    for (auto length = std::min(path.size(), max_prefix_length_); length > 0; --length) {
        const bool ends_segment =
            length == path.size() || path[length] == '/' || path[length] == '?';
        if (!ends_segment && path[length - 1] != '/') {
            continue;
        }
        if (const auto position = position_of(path.substr(0, length))) {
            return position;
        }
    }
    return std::nullopt;
}

} // namespace sycamorewinch
