#include "request_path/target_limit_share.h"

namespace sycamorewinch {

auto target_limit_share(const service_route* route, const exchange_request& request) -> limit_share
{
    const auto* destination =
        route != nullptr ? find_destination(*route, request.service_) : nullptr;
    const auto limit =
        destination != nullptr ? route->row_->limit_of(request.caller_) : caller_limit();
    if (!is_limited(limit)) {
        return {};
    }
    const auto shares = compute_limit_shares(*destination, request.caller_, limit);
    for (std::size_t index = 0; index < shares.size(); ++index) {
        if (destination->targets_[index].record_.target_ == request.target_) {
            return shares[index];
        }
    }
    // This node's routes do not contain the target yet: it counts as one more of equal weight.
    const auto share_count = static_cast<double>(shares.size() + 1);
    return {true, limit.requests_per_second_ / share_count, 1, limit.concurrency_ == 0 ? 0U : 1U};
}

} // namespace sycamorewinch
