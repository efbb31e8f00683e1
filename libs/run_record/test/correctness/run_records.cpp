#include <boost/test/unit_test.hpp>

#include "run_record/run_records.h"

using namespace sycamorewinch;

namespace {

auto make_operation(run_operation_kind kind, std::uint64_t attempt, const std::string& key = "k")
    -> run_operation
{
    run_operation operation{.kind_ = kind};
    operation.key_ = make_run_key("dialer", "desk", key);
    operation.attempt_ = {attempt, 0};
    operation.node_ = "n1";
    operation.incarnation_ = 1;
    return operation;
}

auto apply(run_records& records, const run_operation& operation, std::uint64_t time_ms = 0)
    -> run_result
{
    return records.apply({time_ms, {operation}}).front();
}

using enum run_operation_kind;

} // namespace

BOOST_AUTO_TEST_CASE(a_key_is_granted_to_one_attempt)
{
    run_records records;
    BOOST_TEST((apply(records, make_operation(reserve, 1)).verdict_ == run_verdict::granted));
    BOOST_TEST((apply(records, make_operation(reserve, 2)).verdict_ == run_verdict::running));
    BOOST_TEST((apply(records, make_operation(reserve, 1)).verdict_ == run_verdict::granted));
}

BOOST_AUTO_TEST_CASE(a_retry_gets_the_stored_outcome)
{
    run_records records;
    apply(records, make_operation(reserve, 1));
    auto finished = make_operation(finish, 1);
    finished.outcome_ = "answer";
    apply(records, finished);
    const auto again = apply(records, make_operation(reserve, 2));
    BOOST_TEST((again.verdict_ == run_verdict::finished));
    BOOST_TEST(again.outcome_ == "answer");
}

BOOST_AUTO_TEST_CASE(a_released_key_can_be_reserved_again)
{
    run_records records;
    apply(records, make_operation(reserve, 1));
    apply(records, make_operation(release, 2)); // ignored: not the attempt that reserved the key
    BOOST_TEST((apply(records, make_operation(reserve, 2)).verdict_ == run_verdict::running));
    apply(records, make_operation(release, 1));
    BOOST_TEST((apply(records, make_operation(reserve, 2)).verdict_ == run_verdict::granted));
}

BOOST_AUTO_TEST_CASE(attempts_of_a_restarted_node_are_lost)
{
    run_records records;
    apply(records, make_operation(reserve, 1));
    auto restarted = make_operation(announce, 2, "");
    restarted.incarnation_ = 2;
    apply(records, restarted);
    auto retry = make_operation(reserve, 3);
    retry.node_ = "n2";
    BOOST_TEST((apply(records, retry).verdict_ == run_verdict::lost));
    const auto from_earlier_incarnation = apply(records, make_operation(reserve, 4, "third"));
    BOOST_TEST((from_earlier_incarnation.verdict_ == run_verdict::unreachable));
}

BOOST_AUTO_TEST_CASE(a_key_reused_for_another_request_is_rejected)
{
    run_records records;
    apply(records, make_operation(reserve, 1));
    auto other = make_operation(reserve, 2);
    other.request_hash_ = 7;
    BOOST_TEST((apply(records, other).verdict_ == run_verdict::key_reused));
}

BOOST_AUTO_TEST_CASE(keys_are_kept_for_the_retention_period_and_new_keys_refused_when_full)
{
    run_records records({.max_keys_ = 1, .retention_ = std::chrono::seconds(30)});
    apply(records, make_operation(reserve, 1), 1'000);
    BOOST_TEST((apply(records, make_operation(reserve, 2, "b"), 30'000).verdict_ ==
                run_verdict::record_full));
    BOOST_TEST(
        (apply(records, make_operation(reserve, 3, "b"), 61'001).verdict_ == run_verdict::granted));
}

BOOST_AUTO_TEST_CASE(a_clock_jump_does_not_expire_keys)
{
    run_records records({.retention_ = std::chrono::hours(1)});
    apply(records, make_operation(reserve, 1), 1'000);
    constexpr std::uint64_t a_year_later = 31'536'000'000;
    BOOST_TEST((apply(records, make_operation(reserve, 2), a_year_later).verdict_ ==
                run_verdict::running));
}

BOOST_AUTO_TEST_CASE(a_key_with_an_evicted_outcome_still_counts_as_run)
{
    run_records records({.max_total_outcome_bytes_ = 10});
    for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
        apply(records, make_operation(reserve, attempt, std::to_string(attempt)));
        auto finished = make_operation(finish, attempt, std::to_string(attempt));
        finished.outcome_ = "12345";
        apply(records, finished);
    }
    BOOST_TEST(records.outcome_bytes() == 10U);
    BOOST_TEST((apply(records, make_operation(reserve, 9, "1")).verdict_ == run_verdict::not_kept));
    BOOST_TEST((apply(records, make_operation(reserve, 9, "3")).verdict_ == run_verdict::finished));
}

BOOST_AUTO_TEST_CASE(a_snapshot_restores_the_whole_state)
{
    run_records records;
    apply(records, make_operation(reserve, 1, "a"));
    apply(records, make_operation(reserve, 2, "b"));
    auto finished = make_operation(finish, 2, "b");
    finished.outcome_ = "answer";
    apply(records, finished, 5'000);
    auto copy = run_records::decode(records.encode());
    BOOST_REQUIRE(copy.has_value());
    BOOST_TEST(copy->encode() == records.encode());
    BOOST_TEST((apply(*copy, make_operation(reserve, 3, "a")).verdict_ == run_verdict::running));
    BOOST_TEST((apply(*copy, make_operation(reserve, 3, "b")).outcome_ == "answer"));
}
