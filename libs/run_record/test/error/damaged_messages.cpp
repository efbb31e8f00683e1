#include <boost/test/unit_test.hpp>

#include "run_record/run_operation.h"
#include "run_record/run_records.h"

using namespace sycamorewinch;

namespace {

auto sample_batch() -> run_batch
{
    run_operation operation{.kind_ = run_operation_kind::finish,
                            .key_ = make_run_key("a", "b", "c")};
    operation.outcome_ = "answer";
    operation.node_ = "n1";
    return {17, {operation, operation}};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_batch_round_trips_and_every_truncation_is_an_error)
{
    const auto bytes = encode_run_batch(sample_batch());
    const auto back = decode_run_batch(bytes);
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((back->operations_ == sample_batch().operations_));
    BOOST_TEST(back->time_ms_ == 17U);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        BOOST_TEST(!decode_run_batch(bytes.substr(0, size)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(an_oversized_outcome_is_rejected)
{
    auto batch = sample_batch();
    batch.operations_.front().outcome_.assign(max_outcome_bytes + 1, 'x');
    BOOST_TEST(!decode_run_batch(encode_run_batch(batch)).has_value());
}

BOOST_AUTO_TEST_CASE(keys_of_different_callers_and_services_differ)
{
    BOOST_TEST((make_run_key("a", "b", "c") != make_run_key("a", "bc", "")));
    BOOST_TEST((make_run_key("a", "b", "c") != make_run_key("ab", "", "c")));
}

BOOST_AUTO_TEST_CASE(a_damaged_snapshot_is_an_error)
{
    BOOST_TEST(!run_records::decode("no snapshot").has_value());
}
