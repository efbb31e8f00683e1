// If none of a service's many targets has a free slot, a call tries only three of them and is then
// refused.
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

constexpr unsigned full_target_count = 15;
/** Equal to full_targets_before_last_choice in caller_call.cpp. The retries of the row do not limit
 * attempts that reach no target. */
constexpr std::uint64_t max_retries = 2;

/** Publishes \p count targets beside \p node that have zero slots and thus refuse every call as
 * full. No connection is made to their address. */
void publish_full_targets(test_node& node, unsigned count)
{
    auto local = std::make_shared<local_targets>();
    std::vector<target_record> records;
    for (unsigned index = 0; index < count; ++index) {
        target_record record{.service_ = "dialer", .target_ = "d" + std::to_string(index)};
        record.node_address_ = node.state_.own_address();
        local->push_back({record.service_,
                          record.target_,
                          {"127.0.0.1", 1},
                          std::make_shared<admission_controller>(0),
                          std::make_shared<target_meter>()});
        records.push_back(std::move(record));
    }
    node.state_.publish_targets(std::move(local));
    node.state_.publish_routes(std::make_shared<const table>(make_table(1, {unrepeatable_row()})),
                               records);
}

/** Returns a mapping by which every answer with status 503 states that its request has not run. */
auto mapping_of_rejecting_targets() -> header_mapping
{
    auto mapping = native_header_mapping();
    mapping.classify_response_ = [](const exchange_request&, const message_head& response) {
        constexpr unsigned unavailable_status = 503;
        return response.status_ == unavailable_status ? response_kind::not_run
                                                      : response_kind::genuine;
    };
    return mapping;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_is_refused_after_three_full_targets)
{
    node_fixture nodes(call_path::local, 1);
    publish_full_targets(nodes.entry_node(), full_target_count);
    const auto caller = nodes.connect();
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    BOOST_TEST(caller->received().find("sycamorewinch-refusal: target_full") != std::string::npos);
    BOOST_TEST(caller->received().find("sycamorewinch-outcome: not-run") != std::string::npos);
    auto& retries = nodes.entry_node().metrics_.count(
        "sycamorewinch_retries_total", "", {{"reason", "target_full"}, {"service", "dialer"}});
    BOOST_TEST(retries.value() == max_retries);
}

// A target may reject a part of its requests although it has room. With a fixed Retry-After of a
// second, the response of the caller's next try would miss most target latencies.
BOOST_AUTO_TEST_CASE(a_caller_whom_the_target_rejects_is_asked_to_return_soon)
{
    const scripted_server target([](loopback_socket& peer) {
        peer.clear();
        peer.write("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n");
    });
    constexpr std::uint32_t slots = 10;
    node_fixture nodes(call_path::through_peer, target.port(), unrepeatable_row(), slots,
                       mapping_of_rejecting_targets());
    const auto caller = nodes.connect();
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    BOOST_TEST(caller->received().find("sycamorewinch-outcome: not-run") != std::string::npos);
    BOOST_TEST(caller->received().find("retry-after: 0.01") != std::string::npos);
}
