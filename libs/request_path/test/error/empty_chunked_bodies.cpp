// Empty bodies in chunks whose last bytes arrive one by one, or not at all.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

const auto both_paths = boost::unit_test::data::make({0, 1});

constexpr std::string_view last_chunk_bytes = "0\r\n\r\n";
/** Long enough for the node to read one piece before the next is sent. */
constexpr std::chrono::milliseconds pause_between_pieces{3};

/** Writes \p message to \p peer in three pieces, which end at \p first, \p second and its end. */
void write_in_pieces(loopback_socket& peer, const std::string& message, std::size_t first,
                     std::size_t second)
{
    peer.write(message.substr(0, first));
    run_events(pause_between_pieces);
    peer.write(message.substr(first, second - first));
    run_events(pause_between_pieces);
    peer.write(message.substr(second));
}

/** A target that keeps its connections and does not respond by itself. */
struct silent_target {
    scripted_server server_{[](loopback_socket&) {
    }};

    /** Waits for a request on the latest connection and returns that. */
    auto next_request() -> loopback_socket&
    {
        BOOST_REQUIRE(wait_until([this] {
            return !server_.connections().empty() &&
                   server_.connections().back()->received().ends_with("\r\n\r\n");
        }));
        return *server_.connections().back();
    }
};

} // namespace

// Guards against a node that ends by an assertion: "\r" and "\n" after the last chunk may each come
// in a segment of their own.
BOOST_DATA_TEST_CASE(an_empty_chunked_response_may_arrive_in_any_pieces, both_paths, index)
{
    const std::string response = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    const auto head_size = response.size() - last_chunk_bytes.size();
    for (auto first = head_size - 1; first < response.size(); ++first) {
        for (auto second = first; second < response.size(); ++second) {
            silent_target target;
            const node_fixture nodes(static_cast<call_path>(index), target.server_.port());
            const auto caller = nodes.connect();
            caller->write("GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            write_in_pieces(target.next_request(), response, first, second);
            BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
            BOOST_TEST(caller->received().starts_with("HTTP/1.1 200"));
            BOOST_TEST(caller->received().ends_with("\r\n\r\n"));
        }
    }
}

BOOST_DATA_TEST_CASE(an_empty_chunked_response_that_stops_short_is_no_whole_response, both_paths,
                     index)
{
    const std::string response = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    const auto head_size = response.size() - last_chunk_bytes.size();
    for (auto first = head_size; first < response.size() - 1; ++first) {
        silent_target target;
        const node_fixture nodes(static_cast<call_path>(index), target.server_.port());
        const auto caller = nodes.connect();
        caller->write("GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        auto& peer = target.next_request();
        write_in_pieces(peer, response.substr(0, response.size() - 1), first, first + 1);
        run_events(pause_between_pieces);
        peer.close();
        BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
        const auto is_cut = caller->received().find("0\r\n\r\n") == std::string::npos;
        BOOST_TEST((is_cut || caller->received().starts_with("HTTP/1.1 502")));
    }
}

BOOST_DATA_TEST_CASE(an_empty_chunked_request_may_arrive_in_any_pieces, both_paths, index)
{
    const std::string request =
        "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n"
        "0\r\n\r\n";
    const auto head_size = request.size() - last_chunk_bytes.size();
    const scripted_server target([](loopback_socket& peer) {
        if (peer.received().ends_with("0\r\n\r\n")) {
            peer.clear();
            peer.write(make_response("whole"));
        }
    });
    const node_fixture nodes(static_cast<call_path>(index), target.port());
    for (auto first = head_size - 1; first < request.size(); ++first) {
        for (auto second = first; second < request.size(); ++second) {
            const auto caller = nodes.connect();
            write_in_pieces(*caller, request, first, second);
            BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
            BOOST_TEST(caller->received().ends_with("whole"));
        }
    }
}
