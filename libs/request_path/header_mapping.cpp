#include "request_path/header_mapping.h"

#include <algorithm>

namespace sycamorewinch {

auto read_api_key(const header_list& fields, std::string_view name) -> std::string
{
    std::string key;
    for (const auto& field : fields) {
        if (field.name_ == name) {
            key += key.empty() ? field.value_ : ", " + field.value_;
        }
    }
    return key;
}

void remove_header_spellings(header_list& fields, std::string_view name)
{
    std::erase_if(fields, [name](const auto& field) {
        return std::ranges::equal(field.name_, name, [](char actual, char expected) {
            return actual == expected || (actual == '_' && expected == '-');
        });
    });
}

} // namespace sycamorewinch
