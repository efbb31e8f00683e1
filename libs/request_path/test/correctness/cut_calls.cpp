// A node that is about to be ended by force gives every open call its last response.
#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

constexpr unsigned call_count = 20;
constexpr std::string_view request = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
constexpr std::chrono::milliseconds shutdown_grace{200};

/** Calls to one target that have reached it. */
struct open_calls {
    open_calls(const node_fixture& nodes, const scripted_server& target)
    {
        for (unsigned index = 0; index < call_count; ++index) {
            callers_.push_back(nodes.connect());
            callers_.back()->write(request);
        }
        BOOST_TEST(wait_until([&] {
            return target.connections().size() == call_count &&
                   std::ranges::all_of(target.connections(), [](const auto& connection) {
                       return connection->received().ends_with("\r\n\r\n");
                   });
        }));
    }

    [[nodiscard]] auto are_closed() const -> bool
    {
        return std::ranges::all_of(callers_,
                                   [](const auto& caller) { return caller->is_closed(); });
    }

    std::vector<std::unique_ptr<loopback_socket>> callers_;
};

void begin_shutdown(test_node& node)
{
    node.state_.begin_shutdown();
    node.worker_->begin_shutdown(shutdown_grace);
}

/** Ends the worker as the process does: as soon as no call is in flight. */
void end_worker(test_node& node)
{
    BOOST_TEST(wait_until([&] { return node.state_.calls_in_flight() == 0; }));
    node.worker_.reset();
}

[[nodiscard]] auto all_are_closed(const scripted_server& target) -> bool
{
    return std::ranges::all_of(target.connections(),
                               [](const auto& connection) { return connection->is_closed(); });
}

void check_cut_unanswered_calls(call_path path)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(path, silent_target.port());
    const open_calls calls(nodes, silent_target);
    begin_shutdown(nodes.entry_node());
    BOOST_TEST(nodes.entry_node().worker_->cut_calls() == call_count);
    end_worker(nodes.entry_node());
    BOOST_TEST(wait_until([&] { return calls.are_closed(); }));
    for (const auto& caller : calls.callers_) {
        BOOST_TEST(caller->received().starts_with("HTTP/1.1 504 "));
        BOOST_TEST(is_complete_response(caller->received()));
        BOOST_TEST(caller->received().find("sycamorewinch-outcome: unknown") != std::string::npos);
    }
    BOOST_TEST(wait_until([&] { return all_are_closed(silent_target); }));
}

} // namespace

BOOST_AUTO_TEST_CASE(no_caller_of_a_node_that_is_ended_by_force_goes_without_a_response)
{
    check_cut_unanswered_calls(call_path::local);
}

BOOST_AUTO_TEST_CASE(no_caller_through_a_peer_goes_without_a_response_when_its_node_is_ended)
{
    check_cut_unanswered_calls(call_path::through_peer);
}

BOOST_AUTO_TEST_CASE(a_response_that_has_begun_is_truncated_when_its_node_is_ended)
{
    const scripted_server slow_target([](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.write("HTTP/1.1 200 OK\r\ncontent-length: 2000000\r\n\r\nfirst part");
        }
    });
    node_fixture nodes(call_path::local, slow_target.port());
    const open_calls calls(nodes, slow_target);
    BOOST_TEST(wait_until([&] {
        return std::ranges::all_of(calls.callers_, [](const auto& caller) {
            return caller->received().ends_with("first part");
        });
    }));
    begin_shutdown(nodes.entry_node());
    BOOST_TEST(nodes.entry_node().worker_->cut_calls() == call_count);
    end_worker(nodes.entry_node());
    BOOST_TEST(wait_until([&] { return calls.are_closed(); }));
    for (const auto& caller : calls.callers_) {
        BOOST_TEST(caller->received().ends_with("first part"));
    }
    BOOST_TEST(wait_until([&] { return all_are_closed(slow_target); }));
}

BOOST_AUTO_TEST_CASE(calls_of_other_nodes_end_when_the_node_of_their_target_is_ended)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(call_path::through_peer, silent_target.port());
    const open_calls calls(nodes, silent_target);
    begin_shutdown(nodes.target_node());
    BOOST_TEST(nodes.target_node().worker_->cut_calls() == call_count);
    end_worker(nodes.target_node());
    BOOST_TEST(wait_until([&] {
        return std::ranges::all_of(calls.callers_, [](const auto& caller) {
            return is_complete_response(caller->received());
        });
    }));
    for (const auto& caller : calls.callers_) {
        BOOST_TEST(caller->received().starts_with("HTTP/1.1 502 "));
    }
    BOOST_TEST(wait_until([&] { return all_are_closed(silent_target); }));
}

BOOST_AUTO_TEST_CASE(a_node_without_calls_cuts_none)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(call_path::local, silent_target.port());
    const auto idle_caller = nodes.connect();
    begin_shutdown(nodes.entry_node());
    BOOST_TEST(nodes.entry_node().worker_->cut_calls() == 0U);
    end_worker(nodes.entry_node());
    BOOST_TEST(wait_until([&] { return idle_caller->is_closed(); }));
    BOOST_TEST(idle_caller->received() == "");
}
