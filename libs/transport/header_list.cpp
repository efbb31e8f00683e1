#include "transport/header_list.h"

#include <algorithm>

namespace sycamorewinch {

auto find_header(const header_list& headers, std::string_view name) -> std::string_view
{
    const auto found = std::ranges::find(headers, name, &header_field::name_);
    return found == headers.end() ? std::string_view() : std::string_view(found->value_);
}

void set_header(header_list& headers, std::string_view name, std::string_view value)
{
    remove_header(headers, name);
    headers.push_back({std::string(name), std::string(value)});
}

void remove_header(header_list& headers, std::string_view name)
{
    std::erase_if(headers, [name](const auto& field) { return field.name_ == name; });
}

} // namespace sycamorewinch
