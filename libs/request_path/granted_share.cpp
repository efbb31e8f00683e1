#include "request_path/granted_share.h"

namespace sycamorewinch {

auto granted_share(const service_route* route, const exchange_request& request) -> limit_share
{
    const auto* part = route != nullptr ? find_destination(*route, request.service_) : nullptr;
    const auto limit = part != nullptr ? route->row_->limit_of(request.caller_) : caller_limit();
    if (!is_limited(limit)) {
        return {};
    }
    const auto shares = compute_limit_shares(*part, request.caller_, limit);
    for (std::size_t index = 0; index < shares.size(); ++index) {
        if (part->targets_[index].record_.target_ == request.target_) {
            return shares[index];
        }
    }
    const auto parts = static_cast<double>(shares.size() + 1);
    return {true, limit.requests_per_second_ / parts, 1, limit.concurrency_ == 0 ? 0U : 1U};
}

} // namespace sycamorewinch
