/** \file
 * Finds the longest path prefix that matches a path. It hashes the prefixes of the path itself, so
 * the cost depends on the number of path segments and not on the number of rows.
 *
 * `/x` matches `/x`, `/x/y` and `/x?q`, but not `/xy`; `/x/` matches every path that starts with
 * it.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace sycamorewinch {

/** Maps prefixes to positions. Stores views: the prefixes must outlive the index. */
class path_index {
  public:
    /** Adds \p prefix. If it was added before, the first position is kept. */
    void add(std::string_view prefix, std::size_t position);

    /** Returns the position of the longest prefix that matches \p path. */
    [[nodiscard]] auto find(std::string_view path) const -> std::optional<std::size_t>;

  private:
    [[nodiscard]] auto position_of(std::string_view prefix) const -> std::optional<std::size_t>;

    std::unordered_map<std::string_view, std::size_t> positions_;
    std::size_t max_prefix_length_ = 0;
};

} // namespace sycamorewinch
