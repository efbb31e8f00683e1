/** \file
 * Lesson 5: what a node does with a call. The path finds the row, the weights choose the target,
 * and the node beside the target admits the request or says why not.
 */
#include "../lesson.h"
#include "policy/admission.h"
#include "policy/route_table.h"

using namespace sycamorewinch;

namespace {

auto make_target(const std::string& name, const std::string& zone) -> target_record
{
    target_record record{.service_ = "dialer", .target_ = name};
    record.availability_zone_ = zone;
    record.slots_ = 10;
    return record;
}

/** Returns how many requests of one caller \p gate admits at one moment. */
auto admitted_at_once(admission& gate, const limit_share& share) -> int
{
    int admitted = 0;
    while (!gate.admit("desk", share, instant()).refusal_) {
        ++admitted;
    }
    return admitted;
}

} // namespace

auto main() -> int
{
    row dialer{.service_ = "dialer", .path_prefix_ = "/dialer"};
    dialer.timeout_ = std::chrono::milliseconds(500);
    dialer.weights_ = {{weight_scope::availability_zone, "zone-a", 3},
                       {weight_scope::availability_zone, "zone-b", 1}};
    dialer.default_limit_ = {.requests_per_second_ = 10, .burst_ = 40, .concurrency_ = 0};
    const auto accepted = std::make_shared<const table>(make_table(1, {dialer}));

    // Routes join the table with the targets known at this moment.
    const auto routes =
        route_table::create(accepted, {make_target("d1", "zone-a"), make_target("d2", "zone-b")});
    const auto* route = routes->match("/dialer/call/42");
    lesson::shows("a path finds its row", route != nullptr && route->row_->service_ == "dialer");
    lesson::shows("a path without a row finds none", routes->match("/elsewhere") == nullptr);

    // Three in four calls go to zone-a. The random numbers are seeded, so this is repeatable.
    const auto random = seeded_random(1);
    int first = 0;
    for (int call = 0; call < 1000; ++call) {
        first += choose_target(*route, {}, random)->record_.target_ == "d1" ? 1 : 0;
    }
    lesson::shows("the weights hold", first > 700 && first < 800);
    lesson::shows("a retry goes to another target",
                  choose_target(*route, {"d1"}, random)->record_.target_ == "d2");

    // A caller's limit is for the whole system: each target's node grants its share of it.
    const auto shares = share_limit(*route, "desk", dialer.default_limit_);
    admission first_gate(10);
    admission second_gate(10);
    const auto at_first = admitted_at_once(first_gate, shares[0]);
    const auto at_second = admitted_at_once(second_gate, shares[1]);
    lesson::shows("the burst of 40 is shared by weight, and nothing is granted twice",
                  at_second > 0 && at_first > 2 * at_second && at_first + at_second <= 40);
    const auto refused = first_gate.admit("desk", shares[0], instant());
    lesson::shows("the next one is refused, and so was not run",
                  refused.refusal_ == refusal_reason::rate_limited &&
                      describe(*refused.refusal_).outcome_ == request_outcome::not_run);
    return EXIT_SUCCESS;
}
