#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "soak/fault_proxy.h"
#include "standin/loopback_socket.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(request_sent_before_the_link_is_connected_is_forwarded)
{
    constexpr std::size_t caller_count = 100;
    const std::string response(20'000, 'x');
    const scripted_server target([&response](loopback_socket& peer) {
        peer.write(response);
        peer.close();
    });
    const auto proxy = fault_proxy::start({"127.0.0.1", 0}, {"127.0.0.1", target.port()});
    BOOST_REQUIRE(proxy.has_value());
    std::vector<std::unique_ptr<loopback_socket>> callers;
    for (std::size_t number = 0; number < caller_count; ++number) {
        callers.push_back(loopback_socket::dial((*proxy)->port()));
        callers.back()->write("request");
    }
    BOOST_TEST(wait_until([&] {
        return std::ranges::all_of(callers, [](const auto& caller) { return caller->is_closed(); });
    }));
    BOOST_TEST(std::ranges::count(callers, response.size(), [](const auto& caller) {
                   return caller->bytes_received();
               }) == static_cast<std::ptrdiff_t>(caller_count));
}
