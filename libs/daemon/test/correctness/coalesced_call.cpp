#include <boost/test/unit_test.hpp>

#include "daemon/coalesced_call.h"
#include "standin/loopback_socket.h"

using namespace sycamorewinch;

namespace {

struct counted_call {
    unsigned calls_ = 0;
    coalesced_call call_{std::chrono::milliseconds(1), [this] {
                             ++calls_;
                         }};
};

} // namespace

// As many requests as a node gets messages when all targets of a large fleet announce themselves.
BOOST_AUTO_TEST_CASE(many_requests_cause_one_call)
{
    constexpr unsigned requests = 95;
    static_cast<void>(wait_until([] { return true; })); // creates the event loop
    counted_call counted;
    for (unsigned request = 0; request < requests; ++request) {
        counted.call_.request();
    }
    BOOST_TEST(counted.calls_ == 0U);
    BOOST_TEST(wait_until([&] { return counted.calls_ > 0; }));
    BOOST_TEST(counted.calls_ == 1U);
    counted.call_.request();
    BOOST_TEST(wait_until([&] { return counted.calls_ == 2; }));
}

BOOST_AUTO_TEST_CASE(an_immediate_call_replaces_the_pending_one)
{
    static_cast<void>(wait_until([] { return true; }));
    counted_call counted;
    counted_call later;
    counted.call_.request();
    counted.call_.run_now();
    BOOST_TEST(counted.calls_ == 1U);
    later.call_.request(); // due after the replaced call would have been
    BOOST_TEST(wait_until([&] { return later.calls_ == 1; }));
    BOOST_TEST(counted.calls_ == 1U);
}
