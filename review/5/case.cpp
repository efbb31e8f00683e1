/** \file
 * Case 5: a new route with the prefix `/orders/` takes the requests for `/orders`, which it does
 * not begin.
 */
#include <thread>

#include "scene.h"

namespace {

using namespace review;

constexpr auto host = "shop.example";
constexpr auto catalogue = "catalogue";
constexpr auto orders = "orders";

/** How the requests of one pass were run. */
struct tally {
    int sent_ = 0;
    int by_catalogue_ = 0;
    int by_orders_ = 0;
};

/** Sends requests whose paths only the prefix `/` begins, at both nodes. */
auto send_requests(scene& scene) -> tally
{
    tally result;
    for (const auto* path : {"/orders", "/orders?since=5", "/orderses/1", "/"}) {
        for (std::size_t node = 0; node < 2; ++node) {
            const auto answer = scene.ask(node, {"GET", path, {{"Host", host}}, ""});
            const auto id = field(answer.fields_, "Sent-Id");
            ++result.sent_;
            result.by_catalogue_ += scene.count_runs(catalogue, id);
            result.by_orders_ += scene.count_runs(orders, id);
        }
    }
    return result;
}

auto run_case(record& record) -> int
{
    scene scene(record, 3, {catalogue, orders}, [](const request&) { return work{}; });
    const std::vector<std::string> services{catalogue, orders};
    const route all{"r-all", host, "/", catalogue};
    const route added{"r-orders", host, "/orders/", orders};
    if (!scene.start(make_config("00000001", {all}, services))) {
        return exit_could_not_run;
    }
    const auto before = send_requests(scene);
    if (before.by_catalogue_ != before.sent_) {
        return exit_could_not_run;
    }
    if (has_trouble() &&
        scene.system().put_config("00000001", make_config("00000002", {all, added}, services),
                                  operator_patience) != 200) {
        return exit_could_not_run;
    }
    scene::settle();
    const auto after = send_requests(scene);
    record.note("sent " + std::to_string(after.sent_) + ", run by " + catalogue + " " +
                std::to_string(after.by_catalogue_) + ", by " + orders + " " +
                std::to_string(after.by_orders_));
    return finish(record, "ROUTE", after.by_orders_ > 0);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return review::run_main(argc, argv, run_case);
}
