// A target states in its responses how many requests per second it takes from all nodes together,
// and that it is leaving.
#include <array>

#include <boost/test/unit_test.hpp>

#include <fmt/core.h>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

constexpr std::array paths{call_path::local, call_path::through_peer};
constexpr double stated_rate = 2;      ///< Requests per second.
constexpr unsigned request_count = 40; ///< Sent one after the other, without pauses.
/** What the users allow beyond the stated rate: half as much again, and this many requests. */
constexpr double rate_tolerance = 1.5;
constexpr double request_tolerance = 5;

/** Counts the requests of all connections, and answers each with \p fields. */
class counting_target {
  public:
    explicit counting_target(std::string fields)
        : server_([this, fields = std::move(fields)](loopback_socket& peer) {
              if (peer.received().ends_with("\r\n\r\n")) {
                  peer.clear();
                  ++requests_;
                  peer.write("HTTP/1.1 200 OK\r\n" + fields + "content-length: 2\r\n\r\nok");
              }
          })
    {
    }
    [[nodiscard]] auto port() const -> std::uint16_t { return server_.port(); }
    [[nodiscard]] auto requests() const -> unsigned { return requests_; }

  private:
    unsigned requests_ = 0;
    scripted_server server_;
};

constexpr std::uint64_t target_start = 100;

/** Makes the target known at the entry node by a record of the start \p start. */
void publish_target(node_fixture& nodes, std::uint64_t start)
{
    target_record record{.service_ = "dialer", .target_ = "d1"};
    record.node_address_ = to_text(nodes.target_node().worker_->addresses().peers_);
    record.started_ = start;
    nodes.entry_node().state_.publish_routes(
        std::make_shared<const table>(make_table(1, {unrepeatable_row()})), {record});
}

/** Makes the node beside the target forget what the target has stated, as a restart does. */
void restart_target_node(node_fixture& nodes, std::uint16_t target_port)
{
    constexpr std::uint32_t slots = 10;
    auto targets = std::make_shared<local_targets>();
    targets->push_back({"dialer",
                        "d1",
                        {"127.0.0.1", target_port},
                        std::make_shared<admission_controller>(slots),
                        std::make_shared<target_meter>()});
    nodes.target_node().state_.publish_targets(std::move(targets));
}

/** Places the target beside the entry node, which has not had a response of it there. */
void hand_over_to_entry_node(node_fixture& nodes, std::uint16_t target_port)
{
    constexpr std::uint32_t slots = 10;
    auto& node = nodes.entry_node().state_;
    auto targets = std::make_shared<local_targets>();
    targets->push_back({"dialer",
                        "d1",
                        {"127.0.0.1", target_port},
                        std::make_shared<admission_controller>(slots),
                        std::make_shared<target_meter>()});
    node.publish_targets(std::move(targets));
    target_record record{.service_ = "dialer", .target_ = "d1"};
    record.node_address_ = node.own_address();
    record.started_ = target_start;
    node.publish_routes(std::make_shared<const table>(make_table(1, {unrepeatable_row()})),
                        {record});
}

/** Sends a request and returns the response. */
auto call(const node_fixture& nodes) -> std::string
{
    const auto caller = nodes.connect();
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    return caller->received();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_target_gets_no_more_requests_than_the_rate_it_has_stated)
{
    for (const auto path : paths) {
        const counting_target target(
            fmt::format("sycamorewinch-target-limit: {}\r\n", stated_rate));
        const node_fixture nodes(path, target.port());
        const auto started_at = monotonic_now();
        for (unsigned request = 0; request < request_count; ++request) {
            (void)call(nodes);
        }
        const auto elapsed = to_seconds(monotonic_now() - started_at);
        BOOST_TEST(target.requests() <= rate_tolerance * stated_rate * elapsed + request_tolerance);
    }
}

BOOST_AUTO_TEST_CASE(a_target_that_says_it_is_leaving_gets_no_further_request)
{
    for (const auto path : paths) {
        const counting_target target("sycamorewinch-target-leaving: 1\r\n");
        const node_fixture nodes(path, target.port());
        BOOST_TEST(call(nodes).find(" 200 ") != std::string::npos);
        const auto second = call(nodes);
        BOOST_TEST(second.find(" 503 ") != std::string::npos);
        BOOST_TEST(second.find("sycamorewinch-outcome: not-run") != std::string::npos);
        BOOST_TEST(target.requests() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(requests_wait_for_the_stated_rate_rather_than_being_refused)
{
    constexpr double rate = 20;
    constexpr unsigned waiting_count = 12;
    const counting_target target(fmt::format("sycamorewinch-target-limit: {}\r\n", rate));
    auto row = unrepeatable_row();
    row.target_latency_ = std::chrono::seconds(60);
    const node_fixture nodes(call_path::through_peer, target.port(), row);
    const auto started_at = monotonic_now();
    (void)call(nodes); // the node learns of the limit
    std::vector<std::unique_ptr<loopback_socket>> callers;
    for (unsigned request = 0; request < waiting_count; ++request) {
        callers.push_back(nodes.connect());
        callers.back()->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    }
    for (const auto& caller : callers) {
        BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
        BOOST_TEST(caller->received().find(" 200 ") != std::string::npos);
    }
    const auto elapsed = to_seconds(monotonic_now() - started_at);
    BOOST_TEST(target.requests() == 1 + waiting_count);
    BOOST_TEST(target.requests() <= rate_tolerance * rate * elapsed + request_tolerance);
}

BOOST_AUTO_TEST_CASE(a_leaving_target_gets_no_request_after_the_node_beside_it_has_restarted)
{
    const counting_target target("sycamorewinch-target-leaving: 1\r\n");
    node_fixture nodes(call_path::through_peer, target.port());
    publish_target(nodes, target_start);
    (void)call(nodes);
    restart_target_node(nodes, target.port());
    BOOST_TEST(call(nodes).find("sycamorewinch-refusal: target_draining") != std::string::npos);
    BOOST_TEST(target.requests() == 1U);
    publish_target(nodes, target_start + 1);
    BOOST_TEST(call(nodes).find(" 200 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_keeps_to_the_rate_that_other_nodes_were_told)
{
    constexpr unsigned concurrent_count = 9;
    bool responds = true;
    unsigned requests = 0;
    const scripted_server target([&](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            ++requests;
            if (responds) {
                peer.write("HTTP/1.1 200 OK\r\nsycamorewinch-target-limit: 0.1\r\n"
                           "content-length: 2\r\n\r\nok");
            }
        }
    });
    node_fixture nodes(call_path::through_peer, target.port());
    publish_target(nodes, target_start);
    (void)call(nodes);
    restart_target_node(nodes, target.port());
    responds = false; // the limit stays unknown to the restarted node
    requests = 0;
    const auto started_at = monotonic_now();
    std::vector<std::unique_ptr<loopback_socket>> callers;
    const auto count_refused = [&callers] {
        return std::ranges::count_if(callers, [](const auto& caller) {
            return caller->received().find("target_rate_limited") != std::string::npos;
        });
    };
    for (unsigned request = 0; request < concurrent_count; ++request) {
        callers.push_back(nodes.connect());
        callers.back()->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    }
    BOOST_TEST(wait_until([&] { return requests + count_refused() == concurrent_count; }));
    const auto elapsed = to_seconds(monotonic_now() - started_at);
    BOOST_TEST(requests <=
               rate_tolerance * stated_rate_limit::min_rate * elapsed + request_tolerance);
}

BOOST_AUTO_TEST_CASE(a_node_that_takes_a_target_over_keeps_to_the_rate_that_was_stated_elsewhere)
{
    constexpr unsigned concurrent_count = 9;
    bool responds = true;
    unsigned requests = 0;
    const scripted_server target([&](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            ++requests;
            if (responds) {
                peer.write("HTTP/1.1 200 OK\r\nsycamorewinch-target-limit: 0.1\r\n"
                           "content-length: 2\r\n\r\nok");
            }
        }
    });
    node_fixture nodes(call_path::through_peer, target.port());
    publish_target(nodes, target_start);
    (void)call(nodes);
    hand_over_to_entry_node(nodes, target.port());
    responds = false; // the limit stays unknown to the node that has taken over
    requests = 0;
    const auto started_at = monotonic_now();
    std::vector<std::unique_ptr<loopback_socket>> callers;
    const auto count_refused = [&callers] {
        return std::ranges::count_if(callers, [](const auto& caller) {
            return caller->received().find("target_rate_limited") != std::string::npos;
        });
    };
    for (unsigned request = 0; request < concurrent_count; ++request) {
        callers.push_back(nodes.connect());
        callers.back()->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    }
    BOOST_TEST(wait_until([&] { return requests + count_refused() == concurrent_count; }));
    const auto elapsed = to_seconds(monotonic_now() - started_at);
    BOOST_TEST(requests <=
               rate_tolerance * stated_rate_limit::min_rate * elapsed + request_tolerance);
}
