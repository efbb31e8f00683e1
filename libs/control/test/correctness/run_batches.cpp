#include <boost/test/unit_test.hpp>

#include "control/control_replica.h"

using namespace sycamorewinch;

namespace {

auto single_replica() -> result<control_replica>
{
    control_hooks hooks;
    hooks.save_vote_ = [](const auto&) {
        return result<void>();
    };
    hooks.truncate_after_ = [](auto) {
        return result<void>();
    };
    hooks.append_ = [](const auto&) {
        return result<void>();
    };
    hooks.send_ = [](const auto&) {
    };
    hooks.on_table_ = [](const auto&) {
    };
    hooks.on_disk_failure_ = [](const auto&) {
    };
    raft_options options{.self_ = "c0", .voters_ = {"c0"}};
    options.random_ = seeded_random(1);
    return control_replica::create(options, {}, hooks, instant());
}

} // namespace

BOOST_AUTO_TEST_CASE(a_committed_batch_answers_each_operation_and_a_follower_refuses)
{
    auto replica = single_replica();
    BOOST_REQUIRE(replica.has_value());
    run_operation first_operation;
    first_operation.key_ = make_run_key("dialer", "desk", "k");
    first_operation.attempt_ = {1, 1};
    bool refused = false;
    replica->apply_runs(
        {0, {first_operation}}, [&](const auto& results) { refused = !results; }, instant());
    BOOST_TEST(refused);
    instant now;
    while (replica->raft_state().role() != raft_role::leader) {
        now += std::chrono::milliseconds(10);
        replica->tick(now);
    }
    std::vector<run_result> answers;
    auto second_operation = first_operation;
    second_operation.attempt_ = {2, 2};
    replica->apply_runs(
        {0, {first_operation, second_operation}}, [&](const auto& results) { answers = *results; },
        now);
    BOOST_REQUIRE(answers.size() == 2U);
    BOOST_TEST((answers[0].verdict_ == run_verdict::granted));
    BOOST_TEST((answers[1].verdict_ == run_verdict::running));
}
