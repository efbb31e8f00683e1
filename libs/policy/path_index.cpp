#include "policy/path_index.h"

#include <algorithm>

namespace sycamorewinch {

void path_index::add(std::string_view prefix, std::size_t position, prefix_match match)
{
    if (prefix.ends_with('/')) {
        prefix.remove_suffix(1);
        match = prefix_match::subtree;
    }
    auto& entry = positions_[prefix];
    auto& known = match == prefix_match::subtree ? entry.subtree_ : entry.segment_;
    known = known.value_or(position);
    max_prefix_length_ = std::max(max_prefix_length_, prefix.size());
}

// A prefix can match only where a segment ends: at the end of the path, or before a '/' or '?'. The
// empty prefix is that of "/".
auto path_index::find(std::string_view path) const -> std::optional<std::size_t>
{
    for (auto length = std::min(path.size(), max_prefix_length_) + 1; length-- > 0;) {
        const bool has_subtree = length < path.size() && path[length] == '/';
        if (!has_subtree && length < path.size() && path[length] != '?') {
            continue;
        }
        const auto found = positions_.find(path.substr(0, length));
        if (found == positions_.end()) {
            continue;
        }
        if (has_subtree && found->second.subtree_) {
            return found->second.subtree_;
        }
        if (found->second.segment_) {
            return found->second.segment_;
        }
    }
    return std::nullopt;
}

} // namespace sycamorewinch
