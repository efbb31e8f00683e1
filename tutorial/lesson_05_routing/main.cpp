/** \file
 * Lesson 5: how a node handles a call. The path selects the row, the weights select the target, and
 * the node beside the target admits the request or refuses it with a reason.
 */
#include "../lesson.h"
#include "policy/admission_controller.h"
#include "policy/limit_share.h"
#include "policy/target_choice.h"

using namespace sycamorewinch;

namespace {

auto make_target(const std::string& name, const std::string& zone) -> target_record
{
    target_record record{.service_ = "dialer", .target_ = name};
    record.availability_zone_ = zone;
    record.slots_ = 10;
    return record;
}

} // namespace

auto main() -> int
{
    row dialer{.service_ = "dialer", .path_prefix_ = "/dialer"};
    dialer.timeout_ = std::chrono::milliseconds(500);
    dialer.weights_ = {{weight_scope::availability_zone, "zone-a", 3},
                       {weight_scope::availability_zone, "zone-b", 1}};
    dialer.default_limit_ = {.requests_per_second_ = 10, .burst_ = 2, .concurrency_ = 0};
    const auto accepted = std::make_shared<const table>(make_table(1, {dialer}));

    // A route table joins the rows with the currently known targets.
    const auto routes =
        route_table::create(accepted, {make_target("d1", "zone-a"), make_target("d2", "zone-b")});
    const auto* route = routes->match("/dialer/call/42");
    lesson::check("a path matches its row", route != nullptr && route->row_->service_ == "dialer");
    lesson::check("a path without a row has no match", routes->match("/elsewhere") == nullptr);

    // Three of four calls go to zone-a. The random generator is seeded, so the result is
    // repeatable.
    const auto random = seeded_random(1);
    int first = 0;
    for (int call = 0; call < 1000; ++call) {
        first += choose_target(*route, {}, random)->record_.target_ == "d1" ? 1 : 0;
    }
    lesson::check("calls follow the weights", first > 700 && first < 800);
    lesson::check("a retry goes to another target",
                  choose_target(*route, {"d1"}, random)->record_.target_ == "d2");

    // A row may split its calls between several services by weight, regardless of their load.
    row split{.service_ = "trial", .host_ = "desk.example", .path_prefix_ = "/trial"};
    split.split_ = {{"dialer", 9}, {"dialer-next", 1}};
    const auto trial =
        route_table::create(std::make_shared<const table>(make_table(2, {split})), {});
    int next = 0;
    for (int call = 0; call < 1000; ++call) {
        const auto& part = choose_destination(*trial->match("/trial/1", "desk.example"), random);
        next += part.service_ == "dialer-next" ? 1 : 0;
    }
    lesson::check("a tenth of the calls go to dialer-next", next > 70 && next < 130);

    // A caller's limit applies to the whole system; each target enforces a share in proportion to
    // its weight.
    const auto shares = compute_limit_shares(*route, "desk", dialer.default_limit_);
    const double whole = shares[0].requests_per_second_ + shares[1].requests_per_second_;
    lesson::check("the shares add up to the limit", whole > 9.99 && whole < 10.01);

    // The node beside the target enforces its share: a simultaneous series of requests is admitted
    // only up to the burst.
    admission_controller controller(10);
    const instant now{};
    int admitted = 0;
    auto last = controller.admit("desk", shares[0], now);
    for (; !last.refusal_ && admitted < 10; ++admitted) {
        last = controller.admit("desk", shares[0], now);
    }
    lesson::check("at least one is admitted, and no more than the burst",
                  admitted >= 1 && admitted <= 2);
    lesson::check("the next is refused, and was not run",
                  last.refusal_ == refusal_reason::rate_limited &&
                      describe(*last.refusal_).outcome_ == request_outcome::not_run);
    return EXIT_SUCCESS;
}
