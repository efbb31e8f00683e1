#include "observability/line_budget.h"

#include <algorithm>
#include <utility>

namespace sycamorewinch {

auto line_budget::take(std::string_view event, instant now) -> std::optional<std::uint64_t>
{
    auto found = accounts_.find(event);
    if (found == accounts_.end()) {
        found = accounts_.emplace(std::string(event), account{reserve_lines, now, 0}).first;
    }
    auto& account = found->second;
    const auto earned = to_seconds(now - account.updated_) * lines_per_second;
    account.lines_ = std::min(reserve_lines, account.lines_ + earned);
    account.updated_ = now;
    if (account.lines_ < 1) {
        ++account.left_out_;
        return std::nullopt;
    }
    account.lines_ -= 1;
    return std::exchange(account.left_out_, 0);
}

} // namespace sycamorewinch
