#include <boost/test/unit_test.hpp>

#include "../raw_http_client.h"
#include "daemon/admin_server.h"
#include "standin/connection_lifetimes.h"

using namespace sycamorewinch;
using namespace sycamorewinch::testing;

namespace {

constexpr admin_limits small_limits{.max_request_bytes_ = 4096, .max_connections_ = 2};

/** An admin server with one operator path, which responds with the length of the request body. */
struct admin_server_fixture {
    explicit admin_server_fixture(admin_limits limits = small_limits)
    {
        ensure_event_loop();
        server_ = std::make_unique<admin_server>(
            metrics_, "secret", [] { return true; }, limits);
        server_->handle(QHttpServerRequest::Method::Post, "/v1/echo", admin_access::operators,
                        [](const QHttpServerRequest& request) {
                            return json_response({{"bytes", request.body().size()}});
                        });
        BOOST_REQUIRE(server_->listen({"127.0.0.1", 0}).has_value());
    }

    auto dropped(admin_drop_reason reason) -> std::uint64_t
    {
        return metrics_
            .count("sycamorewinch_admin_dropped_total", "", {{"reason", name_of(reason)}})
            .value();
    }

    metrics_registry metrics_;
    std::unique_ptr<admin_server> server_;
};

auto post(const std::string& token, std::size_t length) -> std::string
{
    return "POST /v1/echo HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + token +
           "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

const std::string health_request = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

auto contains(const std::string& text, const std::string& part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_operator_path_requires_the_exact_token)
{
    admin_server_fixture fixture;
    raw_http_client client(fixture.server_->port());
    BOOST_TEST(contains(client.send_request(post("secret", 2) + "{}"), "{\"bytes\":2}"));
    BOOST_TEST(contains(client.send_request(post("secret2", 2) + "{}"), " 401 "));
    BOOST_TEST(contains(client.send_request(post("Secret", 2) + "{}"), " 401 "));
    BOOST_TEST(contains(client.send_request(post("", 2) + "{}"), " 401 "));
    BOOST_TEST(fixture.metrics_.count("sycamorewinch_admin_unauthorized_total", "").value() == 3);
}

BOOST_AUTO_TEST_CASE(bodies_in_many_pieces_arrive_whole_on_a_reused_connection)
{
    admin_server_fixture fixture;
    raw_http_client client(fixture.server_->port());
    for (int round = 0; round < 3; ++round) { // in total more than the limit for one request
        client.send(post("secret", 3000));
        for (int piece = 0; piece < 29; ++piece) {
            client.send(std::string(100, 'x'));
            QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
        }
        BOOST_TEST(contains(client.send_request(std::string(100, 'x')), "{\"bytes\":3000}"));
    }
    BOOST_TEST(fixture.dropped(admin_drop_reason::request_too_large) == 0);
}

BOOST_AUTO_TEST_CASE(a_large_body_within_the_limit_arrives_whole)
{
    constexpr std::size_t length = 3'000'000; // a table of 20,000 rows
    admin_server_fixture fixture({.max_request_bytes_ = 4'000'000});
    raw_http_client client(fixture.server_->port());
    BOOST_TEST(contains(client.send_request(post("secret", length) + std::string(length, 'x')),
                        "{\"bytes\":3000000}"));
}

BOOST_AUTO_TEST_CASE(an_oversized_body_closes_only_its_own_connection)
{
    admin_server_fixture fixture;
    raw_http_client other(fixture.server_->port());
    raw_http_client client(fixture.server_->port());
    client.send(post("secret", 300'000'000));
    client.send(std::string(8192, 'x'));
    run_until([&] { return client.is_closed(); });
    BOOST_TEST(fixture.dropped(admin_drop_reason::request_too_large) == 1);
    BOOST_TEST(contains(other.send_request(health_request), " 200 "));
}

BOOST_AUTO_TEST_CASE(a_connection_beyond_the_limit_displaces_the_one_idle_for_the_longest_time)
{
    admin_server_fixture fixture;
    raw_http_client first(fixture.server_->port());
    raw_http_client second(fixture.server_->port());
    BOOST_TEST(contains(first.send_request(health_request), " 200 "));
    BOOST_TEST(contains(second.send_request(health_request), " 200 "));
    raw_http_client third(fixture.server_->port());
    run_until([&] { return first.is_closed(); });
    BOOST_TEST(fixture.dropped(admin_drop_reason::too_many_connections) == 1);
    BOOST_TEST(contains(third.send_request(health_request), " 200 "));
    BOOST_TEST(contains(second.send_request(health_request), " 200 "));
    run_until(
        [&] { return fixture.metrics_.gauge("sycamorewinch_admin_connections", "").value() == 2; });
    raw_http_client fourth(fixture.server_->port());
    run_until([&] { return third.is_closed(); });
    BOOST_TEST(fixture.dropped(admin_drop_reason::too_many_connections) == 2);
    BOOST_TEST(contains(fourth.send_request(health_request), " 200 "));
}

BOOST_AUTO_TEST_CASE(an_incomplete_request_times_out)
{
    admin_server_fixture fixture({.request_timeout_ = std::chrono::milliseconds(20)});
    raw_http_client client(fixture.server_->port());
    client.send(post("secret", 10));
    run_until([&] { return client.is_closed(); });
    BOOST_TEST(fixture.dropped(admin_drop_reason::too_slow) == 1);
}

BOOST_AUTO_TEST_CASE(no_client_is_dropped_within_the_request_timeout)
{
    constexpr std::chrono::milliseconds timeout{500};
    const admin_server_fixture fixture({.request_timeout_ = timeout});
    for (const auto lifetime :
         measure_connection_lifetimes(fixture.server_->port(), post("secret", 10))) {
        BOOST_TEST(to_milliseconds(lifetime) >= timeout.count());
    }
}

BOOST_AUTO_TEST_CASE(a_client_that_disconnects_early_does_not_disturb_the_server)
{
    admin_server_fixture fixture;
    for (int round = 0; round < 20; ++round) {
        raw_http_client client(fixture.server_->port());
        client.send(post("secret", 2) + "{}");
        if (round % 2 == 0) {
            run_until([done = false]() mutable { return std::exchange(done, true); });
        }
        client.close();
    }
    run_until(
        [&] { return fixture.metrics_.gauge("sycamorewinch_admin_connections", "").value() == 0; });
    raw_http_client client(fixture.server_->port());
    BOOST_TEST(contains(client.send_request(health_request), " 200 "));
}

BOOST_AUTO_TEST_CASE(malformed_requests_do_not_disturb_the_server)
{
    admin_server_fixture fixture;
    for (const std::string bytes :
         {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "GET\r\n\r\n", "PRI * HTTP/2.0\r\n\r\n",
          "POST /v1/echo HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
          "POST /v1/echo HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n"}) {
        raw_http_client client(fixture.server_->port());
        client.send(bytes);
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
        client.close();
    }
    run_until(
        [&] { return fixture.metrics_.gauge("sycamorewinch_admin_connections", "").value() == 0; });
    raw_http_client client(fixture.server_->port());
    BOOST_TEST(contains(client.send_request(health_request), " 200 "));
}
