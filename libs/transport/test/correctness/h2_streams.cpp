// Streams of an HTTP/2 connection: flow control, resets and shutdown.
#include <boost/test/unit_test.hpp>

#include <malloc.h>

#include "../h2_fixture.h"
#include "standin/recorded_qt_messages.h"

using namespace sycamorewinch;

namespace {

constexpr std::size_t body_bytes = 4U * 1024 * 1024;

/** Records the calls of the hooks of one stream. */
struct stream_log {
    std::string status_;
    std::size_t bytes_ = 0;
    bool ended_ = false;
    bool refused_ = false;
    std::optional<bool> closed_;

    auto hooks() -> stream_hooks
    {
        stream_hooks hooks;
        hooks.on_headers_ = [this](const header_list& headers, bool) {
            status_ = find_header(headers, ":status");
        };
        hooks.on_data_ = [this](std::string_view bytes) {
            bytes_ += bytes.size();
        };
        hooks.on_end_ = [this] {
            ended_ = true;
        };
        hooks.on_refused_ = [this] {
            refused_ = true;
        };
        hooks.on_closed_ = [this](bool complete) {
            closed_ = complete;
        };
        return hooks;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_server_that_does_not_consume_blocks_the_client)
{
    stream_log at_server;
    stream_id stream = 0;
    const h2_server server([&](h2_connection&, stream_id id, const header_list&) {
        stream = id;
        return at_server.hooks();
    });
    const auto client = dial_h2(server.port());
    const auto sent = client->request(request_fields("/"), false, {});
    client->write(*sent, std::string(body_bytes, 'b'), true);
    const auto window = connection_limits().window_bytes_;
    BOOST_TEST(wait_until([&] { return at_server.bytes_ == window; }));
    run_events(std::chrono::milliseconds(20));
    BOOST_TEST(at_server.bytes_ == window);
    BOOST_TEST(client->queued_bytes(*sent) > body_bytes / 2);
    std::size_t consumed = 0;
    BOOST_TEST(wait_until([&] {
        server.connections().front()->consume(stream, at_server.bytes_ - consumed);
        consumed = at_server.bytes_;
        return at_server.ended_;
    }));
    BOOST_TEST(at_server.bytes_ == body_bytes);
}

BOOST_AUTO_TEST_CASE(a_client_that_does_not_consume_blocks_the_server)
{
    const h2_server server([&](h2_connection& connection, stream_id id, const header_list&) {
        connection.respond(id, {{":status", "200"}}, false);
        connection.write(id, std::string(body_bytes, 'b'), true);
        return stream_hooks();
    });
    stream_log at_client;
    const auto client = dial_h2(server.port());
    const auto stream = client->request(request_fields("/"), true, at_client.hooks());
    const auto window = connection_limits().window_bytes_;
    BOOST_TEST(wait_until([&] { return at_client.bytes_ == window; }));
    std::size_t consumed = 0;
    BOOST_TEST(wait_until([&] {
        client->consume(*stream, at_client.bytes_ - consumed);
        consumed = at_client.bytes_;
        return at_client.ended_;
    }));
    BOOST_TEST(at_client.bytes_ == body_bytes);
    BOOST_TEST(wait_until([&] { return at_client.closed_.has_value(); }));
    BOOST_TEST(*at_client.closed_);
}

BOOST_AUTO_TEST_CASE(on_writable_is_called_once_the_queue_has_drained)
{
    stream_log at_server;
    const h2_server server([&](h2_connection& connection, stream_id id, const header_list&) {
        auto hooks = at_server.hooks();
        hooks.on_data_ = [&connection, id](std::string_view bytes) {
            connection.consume(id, bytes.size());
        };
        return hooks;
    });
    const auto client = dial_h2(server.port());
    unsigned writable = 0;
    stream_hooks hooks;
    hooks.on_writable_ = [&] {
        ++writable;
    };
    const auto stream = client->request(request_fields("/"), false, std::move(hooks));
    client->write(*stream, std::string(body_bytes, 'b'), false);
    BOOST_TEST(wait_until([&] { return writable == 1; }));
    BOOST_TEST(client->queued_bytes(*stream) <= 32U * 1024);
}

BOOST_AUTO_TEST_CASE(a_reset_closes_only_its_stream_on_both_sides)
{
    stream_log first;
    stream_log second;
    const h2_server server([&](h2_connection&, stream_id, const header_list& headers) {
        return find_header(headers, ":path") == "/first" ? first.hooks() : second.hooks();
    });
    const auto client = dial_h2(server.port());
    stream_log at_client;
    const auto stream = client->request(request_fields("/first"), false, at_client.hooks());
    (void)client->request(request_fields("/second"), false, {});
    BOOST_TEST(wait_until([&] {
        return !server.connections().empty() && server.connections()[0]->open_streams() == 2;
    }));
    client->reset(*stream);
    BOOST_TEST(wait_until([&] { return first.closed_ && at_client.closed_; }));
    BOOST_TEST(!*first.closed_);
    BOOST_TEST(!*at_client.closed_);
    BOOST_TEST(!at_client.refused_);
    BOOST_TEST(server.connections()[0]->open_streams() == 1U);
}

BOOST_AUTO_TEST_CASE(a_hook_may_close_its_own_connection)
{
    const h2_server server([&](h2_connection& connection, stream_id id, const header_list&) {
        stream_hooks hooks;
        hooks.on_data_ = [&connection, id, text = std::string("still here")](std::string_view) {
            connection.reset(id);
            connection.close();
            BOOST_TEST(text == "still here");
        };
        return hooks;
    });
    stream_log at_client;
    const auto client = dial_h2(server.port());
    const auto stream = client->request(request_fields("/"), false, at_client.hooks());
    client->write(*stream, "bytes", false);
    BOOST_TEST(wait_until([&] { return at_client.closed_.has_value(); }));
    BOOST_TEST(!*at_client.closed_);
    BOOST_TEST((server.ends() == std::vector{connection_end_reason::closed_by_us}));
}

BOOST_AUTO_TEST_CASE(after_begin_shutdown_the_client_closes_the_connection)
{
    const h2_server server([&](h2_connection& connection, stream_id id, const header_list&) {
        connection.respond(id, {{":status", "200"}}, true);
        connection.begin_shutdown();
        return stream_hooks();
    });
    std::optional<connection_end_reason> client_end;
    bool was_server_open = false;
    connection_hooks hooks;
    hooks.on_ended_ = [&](connection_end_reason end) {
        client_end = end;
        was_server_open = server.connections()[0]->is_open();
    };
    const auto client = dial_h2(server.port(), std::move(hooks));
    stream_log answer;
    (void)client->request(request_fields("/"), true, answer.hooks());
    BOOST_TEST(wait_until([&] { return client_end.has_value(); }));
    BOOST_TEST(answer.ended_);
    BOOST_TEST((*client_end == connection_end_reason::closed_by_peer));
    BOOST_TEST(was_server_open);
    BOOST_TEST(wait_until([&] { return !server.ends().empty(); }));
    BOOST_TEST((server.ends()[0] == connection_end_reason::closed_by_us));
}

BOOST_AUTO_TEST_CASE(after_begin_shutdown_the_linger_timeout_closes_the_connection)
{
    connection_limits limits;
    limits.linger_timeout_ = std::chrono::milliseconds(50);
    const h2_server server(
        [](h2_connection&, stream_id, const header_list&) { return stream_hooks(); }, limits);
    const auto silent = loopback_socket::dial(server.port());
    BOOST_TEST(wait_until([&] { return !server.connections().empty(); }));
    server.connections()[0]->begin_shutdown();
    BOOST_TEST(wait_until([&] { return !server.ends().empty(); }));
    BOOST_TEST((server.ends()[0] == connection_end_reason::closed_by_us));
}

BOOST_AUTO_TEST_CASE(a_peer_that_closes_after_our_goaway_causes_no_write_to_its_closed_socket)
{
    const recorded_qt_messages messages;
    const h2_server server(
        [](h2_connection&, stream_id, const header_list&) { return stream_hooks(); });
    const auto client = dial_h2(server.port());
    BOOST_TEST(wait_until([&] { return !server.connections().empty(); }));
    server.connections()[0]->begin_shutdown();
    BOOST_TEST(wait_until([&] { return !server.ends().empty(); }));
    BOOST_TEST((server.ends() == std::vector{connection_end_reason::closed_by_us}));
    BOOST_TEST(messages.text() == "");
}

BOOST_AUTO_TEST_CASE(after_begin_shutdown_open_requests_finish_and_new_ones_are_refused)
{
    stream_id held_stream = 0;
    const h2_server server([&](h2_connection&, stream_id id, const header_list&) {
        held_stream = id;
        return stream_hooks();
    });
    const auto client = dial_h2(server.port());
    stream_log first;
    (void)client->request(request_fields("/"), true, first.hooks());
    BOOST_TEST(wait_until([&] { return held_stream != 0; }));
    server.connections()[0]->begin_shutdown();
    stream_log crossing; // sent before the GOAWAY arrived
    const auto late = client->request(request_fields("/"), true, crossing.hooks());
    BOOST_TEST(late.has_value());
    BOOST_TEST(wait_until([&] { return crossing.refused_ && crossing.closed_; }));
    BOOST_TEST(!client->accepts_requests());
    server.connections()[0]->respond(held_stream, {{":status", "200"}}, true);
    BOOST_TEST(wait_until([&] { return first.ended_; }));
    BOOST_TEST(first.status_ == "200");
    BOOST_TEST(wait_until([&] { return !server.ends().empty(); }));
    BOOST_TEST((server.ends()[0] == connection_end_reason::closed_by_us));
}

BOOST_AUTO_TEST_CASE(a_request_that_is_reset_twice_before_it_is_sent_leaves_its_connection_open)
{
    stream_log at_server;
    stream_id received = 0;
    std::size_t consumed = 0;
    const h2_server server([&](h2_connection& connection, stream_id id, const header_list&) {
        received = id;
        auto hooks = at_server.hooks();
        hooks.on_data_ = [&, id](std::string_view bytes) {
            consumed += bytes.size();
            connection.consume(id, bytes.size());
        };
        return hooks;
    });
    const auto client = dial_h2(server.port());
    const auto upload = client->request(request_fields("/"), false, {});
    BOOST_TEST(wait_until([&] { return received == *upload; }));
    client->write(*upload, std::string(body_bytes, 'b'), true); // the socket takes no more
    const auto queued = client->request(request_fields("/"), true, {});
    BOOST_TEST(client->reset_if_unsent(*queued));
    client->reset(*queued);
    BOOST_TEST(wait_until([&] { return consumed == body_bytes || !client->is_open(); }));
    BOOST_TEST(consumed == body_bytes);
    BOOST_TEST(client->is_open());
}

BOOST_AUTO_TEST_CASE(a_long_body_whose_writer_is_always_ahead_holds_only_what_is_unsent)
{
    constexpr std::size_t part_bytes = 64U * 1024;
    constexpr std::size_t long_body_bytes = 32U * 1024 * 1024;
    constexpr std::size_t max_growth = 4U * 1024 * 1024; // far above what buffers need
    const auto allocated = [] {
        const auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    std::size_t received = 0;
    const h2_server server([&](h2_connection& connection, stream_id id, const header_list&) {
        stream_hooks hooks;
        hooks.on_data_ = [&, id](std::string_view bytes) {
            received += bytes.size();
            connection.consume(id, bytes.size());
        };
        return hooks;
    });
    const auto client = dial_h2(server.port());
    const auto upload = client->request(request_fields("/"), false, {});
    const auto before = allocated();
    std::size_t most = before;
    std::size_t written = 0;
    const std::string part(part_bytes, 'b');
    BOOST_TEST(wait_until([&] {
        while (written < long_body_bytes && client->queued_bytes(*upload) < 2 * part_bytes) {
            client->write(*upload, part, false);
            written += part_bytes;
        }
        most = std::max(most, allocated());
        return received == long_body_bytes;
    }));
    BOOST_TEST(most - before < max_growth);
}
