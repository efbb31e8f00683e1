#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

#include "../support/quota_simulation.h"

using namespace sycamorewinch;

namespace {

constexpr std::size_t node_count = 65;
constexpr std::array<std::uint64_t, 2> seeds{1, 2};
constexpr double allowed_loss = 1.0 / 200;
/** The time that a bucket takes to fill, and the measured demand to settle. */
constexpr auto settling = std::chrono::seconds(20);
constexpr auto usual_part = 0.9;
constexpr auto overload = 7.5;
/** The time from the loss of a node until the other nodes are told. */
constexpr auto detection = std::chrono::milliseconds(1'500);
constexpr auto view_skew = std::chrono::milliseconds(100);

const std::vector<quota_case> cases{{10, 0}, {40, 0}, {100, 0}, {100, 100}, {650, 0}, {650, 1'300}};

auto at_second(const quota_simulation& run, double second) -> instant
{
    return run.start() + duration(static_cast<std::int64_t>(second * std::micro::den));
}

/** Returns how long a run of \p quota is to be, so that the requests refused after one loss of the
 * holder, whose number does not depend on the rate, are a small part of all. */
auto run_seconds(const quota_case& quota) -> double
{
    constexpr double min_requests = 6'000;
    return std::max(min_requests / (quota.per_second_ * usual_part), 2 * 60.0);
}

/** Plays 30 s in which the load is \p factor times the rate from second 10 to second 25, and else
 * \p usual_part of it, with \p faults; checks the bound and that every request was answered. */
void check_bound(const quota_case& quota, double factor,
                 const std::function<void(quota_simulation&)>& faults)
{
    for (const auto seed : seeds) {
        quota_simulation run(node_count, quota.limit(), seed);
        run.add_load(quota.per_second_ * usual_part, run.start(), at_second(run, 10));
        run.add_load(quota.per_second_ * factor, at_second(run, 10), at_second(run, 25));
        run.add_load(quota.per_second_ * usual_part, at_second(run, 25), at_second(run, 30));
        faults(run);
        run.run_until(at_second(run, 40));
        const auto most = run.outcome().most_in_window(run.start(), at_second(run, 40));
        BOOST_TEST(most <= quota.most_in_window(), quota.per_second_ << "/s, burst " << quota.burst_
                                                                     << ", seed " << seed << ": "
                                                                     << most << " in 5 s");
        BOOST_TEST(run.waiting() == 0U);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(few_requests_below_the_quota_are_refused)
{
    for (const auto& quota : cases) {
        for (const auto seed : seeds) {
            quota_simulation run(node_count, quota.limit(), seed);
            const auto end = at_second(run, 20 + run_seconds(quota));
            run.add_load(quota.per_second_ * usual_part, run.start(), end);
            run.run_until(end + settling);
            const auto lost = run.outcome().lost_part(run.start() + settling);
            BOOST_TEST(lost < allowed_loss,
                       quota.per_second_ << "/s, seed " << seed << ": " << lost);
            BOOST_TEST(run.waiting() == 0U);
        }
    }
}

// The new holder's bucket begins empty, and the other nodes notice the loss only by the lack of an
// answer until they are told.
BOOST_AUTO_TEST_CASE(loss_of_the_holder_refuses_few_requests_below_the_quota)
{
    for (const bool is_silent : {true, false}) {
        for (const auto& quota : cases) {
            for (const auto seed : seeds) {
                quota_simulation run(node_count, quota.limit(), seed);
                const auto end = at_second(run, 20 + run_seconds(quota));
                const auto killed = run.start() + 2 * settling;
                run.add_load(quota.per_second_ * usual_part, run.start(), end);
                run.at(killed, [&run, is_silent] { run.kill(run.holder(), is_silent); });
                run.at(killed + detection, [&run] { run.publish_nodes(view_skew); });
                run.run_until(end + settling);
                const auto lost = run.outcome().lost_part(run.start() + settling);
                BOOST_TEST(lost < allowed_loss, quota.per_second_ << "/s, seed " << seed
                                                                  << ", silent " << is_silent
                                                                  << ": " << lost);
                BOOST_TEST(run.waiting() == 0U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(bound_holds_above_the_quota)
{
    for (const auto& quota : cases) {
        check_bound(quota, overload, [](quota_simulation&) {});
    }
}

BOOST_AUTO_TEST_CASE(bound_holds_if_all_requests_reach_one_node)
{
    for (const auto& quota : cases) {
        for (const auto seed : seeds) {
            quota_simulation run(node_count, quota.limit(), seed);
            const std::vector<std::size_t> entry{(run.holder() + 1) % node_count};
            run.add_load(quota.per_second_ * usual_part, run.start(), at_second(run, 10), entry);
            run.add_load(quota.per_second_ * overload, at_second(run, 10), at_second(run, 25),
                         entry);
            run.run_until(at_second(run, 30));
            BOOST_TEST(run.outcome().most_in_window(run.start(), at_second(run, 30)) <=
                       quota.most_in_window());
        }
    }
}

BOOST_AUTO_TEST_CASE(bound_holds_when_the_holder_is_killed)
{
    for (const auto& quota : cases) {
        for (const double second : {10.5, 15.0}) {
            check_bound(quota, overload, [second](quota_simulation& run) {
                run.at(at_second(run, second), [&run] { run.kill(run.holder(), true); });
                run.at(at_second(run, second) + detection,
                       [&run] { run.publish_nodes(view_skew); });
            });
        }
    }
}

// The nodes learn one after another that another node is the holder, and both grant meanwhile.
BOOST_AUTO_TEST_CASE(bound_holds_when_a_new_holder_joins_and_leaves)
{
    for (const auto& quota : cases) {
        check_bound(quota, overload, [](quota_simulation& run) {
            run.publish_nodes(duration(0), {run.holder()});
            run.at(at_second(run, 14), [&run] { run.publish_nodes(view_skew); });
            run.at(at_second(run, 16), [&run] { run.publish_nodes(view_skew, {run.holder()}); });
        });
    }
}

// The cut-off node must not grant its callers tokens beyond its part of the quota, whatever its
// place in the rendezvous order is.
BOOST_AUTO_TEST_CASE(bound_holds_with_a_node_cut_off)
{
    for (const auto& quota : cases) {
        for (const std::size_t rank : {0U, 1U, 2U, 10U}) {
            check_bound(quota, overload, [rank](quota_simulation& run) {
                run.at(at_second(run, 13), [&run, rank] { run.cut_off(run.holder(rank)); });
                run.at(at_second(run, 13) + detection,
                       [&run, rank] { run.publish_nodes(view_skew, {run.holder(rank)}); });
                run.at(at_second(run, 18), [&run, rank] {
                    run.reconnect(run.holder(rank));
                    run.publish_nodes(view_skew);
                });
            });
        }
    }
}

// Guards against two budgets: that of the holder and that of the nodes that do not reach it. One
// request in six arrives at such a node, of an organisation that uses its quota in full.
BOOST_AUTO_TEST_CASE(bound_holds_with_a_sixth_of_the_nodes_cut_off)
{
    constexpr std::size_t cut_nodes = node_count / 6;
    for (const auto& quota : cases) {
        for (const std::size_t first_rank : {0U, 2U, 20U}) {
            check_bound(quota, overload, [first_rank](quota_simulation& run) {
                for (std::size_t rank = first_rank; rank < first_rank + cut_nodes; ++rank) {
                    run.at(at_second(run, 13), [&run, rank] { run.cut_off(run.holder(rank)); });
                    run.at(at_second(run, 18.5), [&run, rank] { run.reconnect(run.holder(rank)); });
                }
            });
        }
    }
}

// The same if the nodes that are cut off reach each other: the holder or a substitute is among
// them.
BOOST_AUTO_TEST_CASE(bound_holds_with_a_sixth_of_the_nodes_partitioned)
{
    for (const auto& quota : cases) {
        for (const std::size_t first_rank : {0U, 1U, 20U}) {
            check_bound(quota, overload, [first_rank](quota_simulation& run) {
                std::set<std::size_t> nodes;
                for (std::size_t rank = first_rank; nodes.size() < node_count / 6; ++rank) {
                    nodes.insert(run.holder(rank));
                }
                run.at(at_second(run, 13), [&run, nodes] { run.cut_off(nodes); });
                for (const auto node : nodes) {
                    run.at(at_second(run, 18.5), [&run, node] { run.reconnect(node); });
                }
            });
        }
    }
}

// A node that resumes has tokens from before only as far as they have not expired, and the bucket
// of a holder that resumes is full while a substitute still grants.
BOOST_AUTO_TEST_CASE(bound_holds_when_a_frozen_node_wakes)
{
    for (const auto& quota : cases) {
        for (const std::size_t rank : {0U, 1U, 10U}) {
            for (const double seconds : {1.2, 4.0}) {
                check_bound(quota, overload, [rank, seconds](quota_simulation& run) {
                    run.at(at_second(run, 13), [&run, rank] { run.freeze(run.holder(rank)); });
                    run.at(at_second(run, 13 + seconds),
                           [&run, rank] { run.thaw(run.holder(rank)); });
                });
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(lowered_quota_holds_within_one_window)
{
    for (const auto& quota : cases) {
        const quota_case lowered{quota.per_second_ / 4, quota.burst_ / 4};
        for (const auto seed : seeds) {
            quota_simulation run(node_count, quota.limit(), seed);
            run.add_load(quota.per_second_ * usual_part, run.start(), at_second(run, 10));
            run.add_load(quota.per_second_ * overload, at_second(run, 10), at_second(run, 30));
            run.at(at_second(run, 15),
                   [&run, lowered] { run.set_limit(lowered.limit(), view_skew); });
            run.run_until(at_second(run, 35));
            BOOST_TEST(
                run.outcome().most_in_window(at_second(run, 15) + view_skew, at_second(run, 35)) <=
                lowered.most_in_window() + 0U);
        }
    }
}

// Above the quota an organisation still gets what it may use.
BOOST_AUTO_TEST_CASE(quota_is_used_in_full_under_overload)
{
    for (const auto& quota : cases) {
        quota_simulation run(node_count, quota.limit(), 1);
        run.add_load(quota.per_second_ * overload, run.start(), at_second(run, 30));
        run.run_until(at_second(run, 30));
        const auto runs = static_cast<double>(run.outcome().runs_.size());
        BOOST_TEST(runs > quota.per_second_ * 30 * 0.95);
    }
}

// A node that reaches no holder can't know what the others grant. It refuses at once, except where
// it still has tokens, and asks again soon.
BOOST_AUTO_TEST_CASE(node_without_holders_grants_nothing_and_states_that_the_quota_is_unknown)
{
    const quota_case quota{130, 0};
    quota_simulation run(node_count, quota.limit(), 1);
    const auto lone = run.holder(10);
    run.add_load(20, run.start(), at_second(run, 60), {lone});
    run.at(at_second(run, 10), [&run, lone] { run.cut_off(lone); });
    run.at(at_second(run, 50), [&run, lone] { run.reconnect(lone); });
    run.run_until(at_second(run, 65));
    const auto count_between = [&run](const std::vector<instant>& times, double from,
                                      double until) {
        return std::ranges::count_if(times, [&](instant time) {
            return time >= at_second(run, from) && time < at_second(run, until);
        });
    };
    BOOST_TEST(count_between(run.outcome().runs_, 10 + to_seconds(lease_lifetime), 50) == 0);
    const auto refused = count_between(run.outcome().refusals_, 10, 52);
    BOOST_TEST(refused > 700); // 20/s for 40 s, less the tokens that it still had
    BOOST_TEST(static_cast<std::uint64_t>(refused) <= run.outcome().unavailable_);
    BOOST_TEST(count_between(run.outcome().refusals_, 52, 60) == 0);
    BOOST_TEST(count_between(run.outcome().runs_, 52, 60) > 100);
    BOOST_TEST(run.waiting() == 0U);
}
