#include <boost/test/unit_test.hpp>

#include "request_path/peer_headers.h"

using namespace sycamorewinch;

// Guards against a client that sets the fields by which one node tells another what to run.
BOOST_AUTO_TEST_CASE(a_client_cannot_set_what_one_node_tells_another)
{
    exchange_request request;
    request.service_ = "dialer";
    request.target_ = "d1";
    request.priority_ = 3;
    request.head_.headers_ = {
        {"sycamorewinch-service", "other"},     {"sycamorewinch-target", "other"},
        {"sycamorewinch-peer-caller", "other"}, {"sycamorewinch-peer-organisation", "other"},
        {"sycamorewinch-repeatable", "1"},      {"sycamorewinch-priority", "0"}};
    const auto read = from_peer_request(to_peer_request(request), true);
    BOOST_TEST(read.service_ == "dialer");
    BOOST_TEST(read.target_ == "d1");
    BOOST_TEST(read.caller_.empty());
    BOOST_TEST(read.organisation_.empty());
    BOOST_TEST(!read.repeatable_);
    BOOST_TEST(read.priority_ == 3U);
}
