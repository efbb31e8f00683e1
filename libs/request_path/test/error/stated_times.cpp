// Times stated by a caller that are no sensible time for a call.
#include <cstdint>
#include <limits>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/core.h>

#include "../node_fixture.h"
#include "request_path/time_allowed.h"

using namespace sycamorewinch;

namespace {

using std::chrono::milliseconds;

constexpr auto most_negative = std::numeric_limits<std::int64_t>::min();
constexpr auto largest = std::numeric_limits<std::int64_t>::max();

} // namespace

BOOST_AUTO_TEST_CASE(times_are_read_within_their_bounds)
{
    BOOST_TEST((parse_time_allowed("1200") == milliseconds(1200)));
    BOOST_TEST((parse_time_allowed("-5") == milliseconds(0)));
    BOOST_TEST((parse_time_allowed(std::to_string(most_negative)) == milliseconds(0)));
    BOOST_TEST((parse_time_allowed(std::to_string(largest)) == milliseconds(max_time_allowed)));
}

BOOST_DATA_TEST_CASE(text_that_is_no_whole_number_states_no_time,
                     boost::unit_test::data::make({"", "x", "12abc", "5e3", "1.5", " 7",
                                                   "99999999999999999999"}),
                     text)
{
    BOOST_TEST(!parse_time_allowed(text).has_value());
}

BOOST_DATA_TEST_CASE(a_call_without_time_left_is_refused_and_not_sent,
                     boost::unit_test::data::make({std::int64_t(0), std::int64_t(-5),
                                                   most_negative}),
                     stated)
{
    const scripted_server silent_target([](loopback_socket&) {});
    const node_fixture nodes(call_path::local, silent_target.port());
    const auto caller = nodes.connect();
    caller->write(
        fmt::format("GET /x HTTP/1.1\r\nhost: a\r\nsycamorewinch-deadline-ms: {}\r\n\r\n", stated));
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); },
                          std::chrono::seconds(20)));
    // With 504, the caller could not rely on the outcome.
    BOOST_TEST(caller->received().starts_with("HTTP/1.1 503 "));
    BOOST_TEST(caller->received().find("sycamorewinch-refusal: not_started_in_time") !=
               std::string::npos);
    BOOST_TEST(caller->received().find("sycamorewinch-outcome: not-run") != std::string::npos);
    BOOST_TEST(silent_target.connections().empty());
}
