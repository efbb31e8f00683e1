// A node that shuts down under load cuts no request.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"
#include "standin/load_maker.h"

using namespace sycamorewinch;

namespace {

/** Makes load on \p nodes, shuts \p leaving down in the middle, and returns what came of it. */
auto load_while_leaving(node_fixture& nodes, test_node& leaving, const unsigned& ran)
    -> load_outcome
{
    load_options options;
    options.nodes_ = {{"127.0.0.1", nodes.caller_port()}};
    options.calls_ = 3'000;
    options.concurrency_ = 20;
    load_outcome outcome;
    bool done = false;
    const auto run = make_load(options, [&](const auto& result) {
        outcome = result;
        done = true;
    });
    BOOST_TEST(wait_until([&] { return ran > 500; }));
    leaving.state_.begin_shutdown();
    leaving.worker_->begin_shutdown(std::chrono::milliseconds(1000));
    BOOST_TEST(wait_until([&] { return leaving.state_.calls_in_flight() == 0; }));
    leaving.worker_.reset();
    BOOST_TEST(wait_until([&] { return done; }));
    return outcome;
}

/** A target that answers each request and counts it. */
struct counting_target {
    unsigned ran_ = 0;
    raw_server server_{[this](raw_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            ++ran_;
            peer.clear();
            peer.write(answer_with("done"));
        }
    }};
};

} // namespace

BOOST_AUTO_TEST_CASE(the_node_that_callers_call_leaves_without_a_cut)
{
    const counting_target target;
    node_fixture nodes(call_path::local, target.server_.port());
    const auto outcome = load_while_leaving(nodes, nodes.front(), target.ran_);
    const auto answered = outcome.by_status_.at(200);
    BOOST_TEST(answered == target.ran_);
    BOOST_TEST(outcome.by_status_.at(0) == outcome.not_sent_);
}

BOOST_AUTO_TEST_CASE(the_node_beside_the_target_leaves_without_a_cut)
{
    const counting_target target;
    node_fixture nodes(call_path::through_peer, target.server_.port());
    const auto outcome = load_while_leaving(nodes, nodes.back(), target.ran_);
    BOOST_TEST(outcome.by_status_.at(200) == target.ran_);
    BOOST_TEST(!outcome.by_status_.contains(0));
    BOOST_TEST(!outcome.by_status_.contains(502)); // what was not answered is known not to have run
}

BOOST_AUTO_TEST_CASE(an_idle_caller_is_answered_with_close_while_the_node_leaves)
{
    const counting_target target;
    node_fixture nodes(call_path::local, target.server_.port());
    const auto caller = nodes.call();
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return holds_whole_answer(caller->received()); }));
    caller->clear();
    nodes.front().state_.begin_shutdown();
    nodes.front().worker_->begin_shutdown(std::chrono::milliseconds(1000));
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
    BOOST_TEST(holds_whole_answer(caller->received()));
    BOOST_TEST(caller->received().find("connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_leaving_node_is_busy_from_the_first_moment)
{
    const counting_target target;
    node_fixture nodes(call_path::local, target.server_.port());
    const auto caller = nodes.call();
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return holds_whole_answer(caller->received()); }));
    BOOST_TEST(wait_until([&] { return nodes.front().state_.calls_in_flight() == 0; }));
    nodes.front().state_.begin_shutdown();
    nodes.front().worker_->begin_shutdown(std::chrono::seconds(60));
    BOOST_TEST(nodes.front().state_.calls_in_flight() == 1); // the idle caller may be sending
    caller->close();
    BOOST_TEST(wait_until([&] { return nodes.front().state_.calls_in_flight() == 0; }));
}
