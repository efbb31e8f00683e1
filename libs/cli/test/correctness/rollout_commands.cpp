#include <boost/test/unit_test.hpp>

#include <QJsonArray>

#include "../fake_control.h"

using namespace sycamorewinch;
using namespace sycamorewinch::testing;

namespace {

auto make_rollouts(const char* state) -> QJsonObject
{
    const QJsonObject ordered{
        {"elapsed_s", 0.0}, {"state", "running"}, {"share", 0.05}, {"reason", "ordered"}};
    const QJsonObject latest{
        {"elapsed_s", 2.5}, {"state", state}, {"share", 0.0}, {"reason", "all rows: 9 of 20"}};
    return {{"rollouts", QJsonArray{QJsonObject{{"service", "desk"},
                                                {"version", "v2"},
                                                {"id", 1},
                                                {"state", state},
                                                {"share", 0.0},
                                                {"duration_s", 16.0},
                                                {"elapsed_s", 2.5},
                                                {"steps", QJsonArray{ordered, latest}}}}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(rollout_start_sends_the_order)
{
    fake_control control;
    test_operator ann({control.address()});
    BOOST_TEST((ann.run({"rollout", "start", "desk", "v2", "16.5"}) == exit_status::done));
    BOOST_TEST(control.rollout_order_ == R"({"duration_s":16.5,"service":"desk","version":"v2"})");
    control.rollout_status_ = 409;
    BOOST_TEST((ann.run({"rollout", "start", "desk", "v3", "16"}) == exit_status::conflict));
    BOOST_TEST(ann.printed("another roll-out is running"));
    BOOST_TEST((ann.run({"rollout", "start", "desk", "v3", "0"}) == exit_status::wrong_arguments));
    BOOST_TEST((ann.run({"rollout", "start", "desk", "v3"}) == exit_status::wrong_arguments));
}

BOOST_AUTO_TEST_CASE(rollout_show_prints_what_decided_each_step)
{
    fake_control control;
    test_operator ann({control.address()});
    BOOST_TEST((ann.run({"rollout", "show"}) == exit_status::done));
    BOOST_TEST(ann.printed("no roll-out was ever ordered"));
    control.rollouts_ = make_rollouts("rolled_back");
    BOOST_TEST((ann.run({"rollout", "show"}) == exit_status::done));
    BOOST_TEST(ann.printed("desk to version v2: rolled_back"));
    BOOST_TEST(ann.printed("all rows: 9 of 20"));
}

BOOST_AUTO_TEST_CASE(rollout_watch_ends_with_the_state_of_the_rollout)
{
    fake_control control;
    test_operator ann({control.address()});
    control.rollouts_ = make_rollouts("completed");
    BOOST_TEST((ann.run({"rollout", "watch", "desk"}) == exit_status::done));
    control.rollouts_ = make_rollouts("rolled_back");
    BOOST_TEST((ann.run({"rollout", "watch", "desk"}) == exit_status::failed));
    BOOST_TEST(ann.printed("version v2 was rolled back"));
    control.rollouts_ = make_rollouts("running");
    command_options options;
    options.watch_timeout_ = std::chrono::seconds(0);
    BOOST_TEST((ann.run({"rollout", "watch", "desk"}, options) == exit_status::not_in_force));
}
