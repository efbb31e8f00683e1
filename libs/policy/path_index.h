/** \file
 * Finds the longest path prefix that a path starts with, by hashing the path's own prefixes: the
 * cost follows the path's segments and not the number of rows.
 *
 * `/x` matches `/x`, `/x/y` and `/x?q`, not `/xy`; `/x/` matches whatever starts with it.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace sycamorewinch {

/** Maps prefixes to positions. The prefixes outlive the index. */
class path_index {
  public:
    /** Adds \p prefix; of two equal ones the first counts. */
    void add(std::string_view prefix, std::size_t position);

    /** Returns the position of the longest prefix that matches \p path. */
    [[nodiscard]] auto find(std::string_view path) const -> std::optional<std::size_t>;

  private:
    [[nodiscard]] auto position_of(std::string_view prefix) const -> std::optional<std::size_t>;

    std::unordered_map<std::string_view, std::size_t> positions_;
    std::size_t longest_ = 0;
};

} // namespace sycamorewinch
