#include <boost/test/unit_test.hpp>

#include "run_record/run_client.h"
#include "run_record/run_forwarder.h"

using namespace sycamorewinch;

namespace {

constexpr instant start{};

auto make_operation(std::uint64_t attempt) -> run_operation
{
    run_operation operation;
    operation.attempt_ = {attempt, 0};
    return operation;
}

/** Connects for the first time and acknowledges the node's announcement. */
void connect(run_client& client)
{
    client.on_connected(start);
    const auto sent = client.take_output();
    BOOST_REQUIRE(!sent.empty());
    BOOST_TEST((sent.back().kind_ == run_operation_kind::announce));
    client.on_results({{sent.back().attempt_, run_verdict::acknowledged, {}}}, start);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_reservation_without_an_upstream_fails_immediately)
{
    run_client client({.node_ = "n1"});
    auto verdict = run_verdict::granted;
    client.reserve(
        make_operation(1), [&](const auto& result) { verdict = result.verdict_; }, start);
    BOOST_TEST((verdict == run_verdict::unreachable));
    BOOST_TEST(client.take_output().empty());
}

BOOST_AUTO_TEST_CASE(a_late_grant_is_not_used_and_its_key_is_released)
{
    run_client client({.node_ = "n1"});
    connect(client);
    unsigned granted = 0;
    client.reserve(
        make_operation(1),
        [&](const auto& result) { granted += result.verdict_ == run_verdict::granted ? 1U : 0U; },
        start);
    BOOST_TEST(client.take_output().size() == 1U);
    client.tick(start + std::chrono::seconds(2));
    const auto sent = client.take_output();
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST((sent.front().kind_ == run_operation_kind::release));
    client.on_results({{{1, 0}, run_verdict::granted, {}}}, start + std::chrono::seconds(2));
    BOOST_TEST(granted == 0U);
    client.on_results({{{1, 0}, run_verdict::acknowledged, {}}}, start + std::chrono::seconds(2));
    BOOST_TEST(client.unacknowledged_reports() == 0U);
}

BOOST_AUTO_TEST_CASE(an_outcome_is_resent_until_acknowledged)
{
    run_client client({.node_ = "n1"});
    auto finished = make_operation(1);
    finished.kind_ = run_operation_kind::finish;
    client.end(finished, start);
    BOOST_TEST(client.take_output().empty());
    connect(client);
    client.tick(start + std::chrono::seconds(1));
    BOOST_TEST(client.take_output().size() == 1U);
    client.on_results({{{1, 0}, run_verdict::acknowledged, {}}}, start);
    client.tick(start + std::chrono::seconds(9));
    BOOST_TEST(client.take_output().empty());
}

BOOST_AUTO_TEST_CASE(a_result_is_returned_to_its_sender)
{
    run_forwarder forwarder;
    forwarder.on_operations(7, {make_operation(1)}, start);
    forwarder.on_operations(8, {make_operation(2)}, start);
    BOOST_TEST(forwarder.take_operations().size() == 2U);
    forwarder.on_results({{{2, 0}, run_verdict::granted, {}}});
    const auto results = forwarder.take_results();
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(results.contains(8));
    forwarder.tick(start + std::chrono::seconds(3));
    BOOST_TEST((forwarder.take_results().at(7).front().verdict_ == run_verdict::unreachable));
}

BOOST_AUTO_TEST_CASE(a_full_forwarder_rejects_immediately)
{
    run_forwarder forwarder({.max_pending_ = 1});
    forwarder.on_operations(7, {make_operation(1), make_operation(2)}, start);
    BOOST_TEST(forwarder.take_operations().size() == 1U);
    BOOST_TEST((forwarder.take_results().at(7).front().attempt_ == digest{2, 0}));
}

// A batch is one entry of the replicated log and one message, both of which have a largest size.
BOOST_AUTO_TEST_CASE(a_forwarder_splits_its_operations_into_batches)
{
    run_forwarder forwarder({.max_batch_operations_ = 3, .max_batch_outcome_bytes_ = 100});
    auto with_outcome = make_operation(5);
    with_outcome.outcome_.assign(101, 'x');
    forwarder.on_operations(7,
                            {make_operation(1), make_operation(2), make_operation(3),
                             make_operation(4), with_outcome, make_operation(6)},
                            start);
    for (const std::size_t size : {3U, 1U, 1U, 1U}) {
        BOOST_TEST(forwarder.take_operations().size() == size);
    }
    BOOST_TEST(!forwarder.has_operations());
}
