/** \file
 * Finds the longest path prefix that matches a path. It hashes the prefixes of the path itself, so
 * the cost depends on the number of path segments and not on the number of rows.
 *
 * An entry is a prefix without its closing slash, and what it matches:
 *
 * | added as           | `/x` | `/x?q` | `/x/` | `/x/y` | `/xy` |
 * |--------------------|------|--------|-------|--------|-------|
 * | `/x`, segment      | yes  | yes    | yes   | yes    | no    |
 * | `/x`, subtree      | no   | no     | yes   | yes    | no    |
 * | `/x/`, either      | no   | no     | yes   | yes    | no    |
 *
 * Both entries of one prefix may be present; the subtree is then the longer match. `/` matches
 * every path.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace sycamorewinch {

/** What a prefix without a closing slash matches. */
enum class prefix_match : std::uint8_t {
    segment, ///< The prefix itself and every path below it.
    subtree, ///< Only the paths below it, as if the prefix ended with a slash.
};

/** Maps prefixes to positions. Stores views: the prefixes must outlive the index. */
class path_index {
  public:
    /** Adds \p prefix. If the same entry was added before, the first position is kept. */
    void add(std::string_view prefix, std::size_t position,
             prefix_match match = prefix_match::segment);

    /** Returns the position of the longest prefix that matches \p path. */
    [[nodiscard]] auto find(std::string_view path) const -> std::optional<std::size_t>;

  private:
    struct positions {
        std::optional<std::size_t> segment_;
        std::optional<std::size_t> subtree_;
    };

    std::unordered_map<std::string_view, positions> positions_; ///< By prefix, no closing slash.
    std::size_t max_prefix_length_ = 0;
};

} // namespace sycamorewinch
