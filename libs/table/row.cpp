#include "table/row.h"

#include <algorithm>

namespace sycamorewinch {

auto row::limit_of(const std::string& caller) const -> const caller_limit&
{
    const auto named = std::ranges::find(named_limits_, caller, &named_limit::caller_);
    return named == named_limits_.end() ? default_limit_ : named->limit_;
}

} // namespace sycamorewinch
