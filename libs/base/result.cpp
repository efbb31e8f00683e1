#include "base/result.h"

#include "base/enum_names.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<error_kind, 9> error_kind_names{{"invalid_input", "not_found", "conflict",
                                                      "unavailable", "unauthorized", "too_large",
                                                      "corrupt", "io", "unsupported"}};

} // namespace

auto name_of(error_kind kind) -> std::string_view
{
    return error_kind_names.name(kind);
}

} // namespace sycamorewinch
