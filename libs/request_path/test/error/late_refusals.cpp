// A refusal that a target has written before, and writes once more on a kept connection, is not
// taken for the answer to a later request.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/core.h>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

const auto both_paths = boost::unit_test::data::make({0, 1});
constexpr std::string_view id_field = "x-request-id";

/** A mapping in which responses name their request, and status 503 states that it has not run. */
auto mapping_with_ids() -> header_mapping
{
    constexpr unsigned not_run_status = 503;
    auto mapping = native_header_mapping();
    mapping.classify_response_ = [](const exchange_request& request, const message_head& response) {
        const auto id = find_header(response.headers_, id_field);
        if (!id.empty() && id != find_header(request.head_.headers_, id_field)) {
            return response_kind::mismatched;
        }
        if (response.status_ != not_run_status) {
            return response_kind::genuine;
        }
        return id.empty() ? response_kind::unattributed_not_run : response_kind::not_run;
    };
    return mapping;
}

auto refusal_text(const std::string& fields) -> std::string
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + fields + "content-length: 0\r\n\r\n";
}

/** A target whose answers are given in turn, on the connections that it is sent requests on. */
struct scripted_target {
    std::vector<std::string> answers_;
    std::size_t requests_ = 0;
    scripted_server server_{[this](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            peer.write(requests_ < answers_.size() ? answers_[requests_] : make_response("more"));
            ++requests_;
        }
    }};
};

/** The row of unrepeatable_row(), without retries. */
auto single_attempt_row() -> row
{
    auto row = unrepeatable_row();
    row.retries_ = 0;
    return row;
}

/** Calls \p target once for each of its answers; returns the response to the last call. */
auto last_response(int path, scripted_target& target) -> std::string
{
    const node_fixture nodes(static_cast<call_path>(path), target.server_.port(),
                             single_attempt_row(), 1'000, mapping_with_ids());
    std::string response;
    for (std::size_t number = 1; number <= target.answers_.size(); ++number) {
        const auto caller = nodes.connect();
        caller->write(
            fmt::format("GET /x HTTP/1.1\r\nhost: a\r\n{}: r{}\r\n\r\n", id_field, number));
        BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
        response = caller->received();
    }
    BOOST_TEST(target.requests_ == target.answers_.size()); // none was sent twice
    return response;
}

auto states_not_run(const std::string& response) -> bool
{
    return response.find("sycamorewinch-outcome: not-run") != std::string::npos;
}

} // namespace

BOOST_DATA_TEST_CASE(a_refusal_without_an_id_on_a_kept_connection_does_not_say_not_run, both_paths,
                     path)
{
    scripted_target target{{make_response("first"), refusal_text("")}};
    const auto response = last_response(path, target);
    BOOST_TEST(target.server_.connections().size() == 1U);
    BOOST_TEST(response.starts_with("HTTP/1.1 502"));
    BOOST_TEST(!states_not_run(response));
}

BOOST_DATA_TEST_CASE(a_refusal_with_an_earlier_id_does_not_say_not_run, both_paths, path)
{
    scripted_target target{
        {refusal_text("x-request-id: r1\r\n"), refusal_text("x-request-id: r1\r\n")}};
    const auto response = last_response(path, target);
    BOOST_TEST(target.server_.connections().size() == 1U);
    BOOST_TEST(response.starts_with("HTTP/1.1 502"));
    BOOST_TEST(!states_not_run(response));
}

BOOST_DATA_TEST_CASE(a_refusal_written_twice_ends_its_connection, both_paths, path)
{
    const auto refusal = refusal_text("x-request-id: r1\r\n");
    scripted_target target{{refusal + refusal, make_response("second")}};
    const auto response = last_response(path, target);
    BOOST_TEST(target.server_.connections().size() == 2U);
    BOOST_TEST(response.starts_with("HTTP/1.1 200"));
}

BOOST_DATA_TEST_CASE(a_refusal_of_this_request_says_not_run, both_paths, path)
{
    scripted_target on_new_connection{{refusal_text("")}};
    BOOST_TEST(states_not_run(last_response(path, on_new_connection)));
    scripted_target on_kept_connection{
        {make_response("first"), refusal_text("x-request-id: r2\r\n")}};
    BOOST_TEST(states_not_run(last_response(path, on_kept_connection)));
}

// Guards against a request being reported as not run, or run again, while its second attempt runs.
BOOST_DATA_TEST_CASE(a_late_copy_of_a_refusal_is_not_the_answer_to_the_retry, both_paths, path)
{
    const auto refusal = refusal_text("x-request-id: r1\r\n");
    loopback_socket* first_connection = nullptr;
    unsigned requests = 0;
    const scripted_server target([&](loopback_socket& peer) {
        if (!peer.received().ends_with("\r\n\r\n")) {
            return;
        }
        peer.clear();
        if (++requests == 1) {
            first_connection = &peer;
            peer.write(refusal);
            return;
        }
        first_connection->write(refusal);
        peer.write(make_response("ran"));
    });
    const node_fixture nodes(static_cast<call_path>(path), target.port(), unrepeatable_row(), 1'000,
                             mapping_with_ids());
    const auto caller = nodes.connect();
    caller->write(fmt::format("GET /x HTTP/1.1\r\nhost: a\r\n{}: r1\r\n\r\n", id_field));
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    BOOST_TEST(caller->received().starts_with("HTTP/1.1 200"));
    BOOST_TEST(requests == 2U);
}
