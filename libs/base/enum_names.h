/** \file
 * Name tables for an `enum class` with consecutive values from zero.
 *
 * \code
 * enum class colour { red, green };
 * constexpr enum_names<colour, 2> colour_names{{"red", "green"}};
 * colour_names.name(colour::green);   // "green"
 * colour_names.parse("red");          // colour::red
 * \endcode
 */
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace sycamorewinch {

/** A constant table that maps the values of \p Enum to names and back. */
template <typename Enum, std::size_t Count>
struct enum_names {
    std::array<std::string_view, Count> names_;

    /** Returns the name of \p value, or "unknown" for a value outside the table. */
    [[nodiscard]] constexpr auto name(Enum value) const -> std::string_view
    {
        const auto index = static_cast<std::size_t>(value);
        return index < Count ? names_[index] : std::string_view("unknown");
    }

    /** Returns the value whose name is \p text, or nothing. */
    [[nodiscard]] constexpr auto parse(std::string_view text) const -> std::optional<Enum>
    {
        for (std::size_t index = 0; index < Count; ++index) {
            if (names_[index] == text) {
                return static_cast<Enum>(index);
            }
        }
        return std::nullopt;
    }

    /** Returns the number of names in the table. */
    [[nodiscard]] static constexpr auto size() -> std::size_t { return Count; }
};

} // namespace sycamorewinch
