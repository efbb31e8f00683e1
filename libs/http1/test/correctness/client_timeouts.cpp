// A client waits for a target for the time that its limits state.
#include <memory>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/time.h"
#include "http1/http1_client_connection.h"
#include "standin/loopback_socket.h"

using namespace sycamorewinch;

namespace {

constexpr std::chrono::milliseconds stall_timeout{500};
/** Exchanges start at even steps over half a second, since Qt rounds timers to parts of a second.
 */
constexpr unsigned exchange_count = 20;
constexpr std::chrono::milliseconds start_interval{25};

/** An exchange, and how long it lasted until it failed. */
struct timed_exchange {
    instant started_at_ = monotonic_now();
    std::optional<duration> lasted_;
    std::optional<exchange_failure> failure_;
    std::shared_ptr<http1_client_connection> connection_;

    explicit timed_exchange(std::uint16_t port)
        : connection_(
              http1_client_connection::dial("127.0.0.1", port, {.stall_timeout_ = stall_timeout}))
    {
        message_head request;
        request.method_ = "GET";
        request.path_ = "/x";
        request.headers_ = {{"host", "a"}};
        client_exchange_hooks hooks;
        hooks.on_failed_ = [this](exchange_failure failure) {
            lasted_ = monotonic_now() - started_at_;
            failure_ = failure;
        };
        connection_->start(std::move(request), std::move(hooks));
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(no_response_is_given_up_within_the_stall_timeout)
{
    const scripted_server stalling_target(
        [](loopback_socket& peer) { peer.write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\na"); });
    std::vector<std::unique_ptr<timed_exchange>> exchanges;
    for (unsigned index = 0; index < exchange_count; ++index) {
        exchanges.push_back(std::make_unique<timed_exchange>(stalling_target.port()));
        run_events(start_interval);
    }
    for (const auto& exchange : exchanges) {
        BOOST_TEST(wait_until([&] { return exchange->lasted_.has_value(); }));
        BOOST_TEST((exchange->failure_ == exchange_failure::truncated));
        BOOST_TEST(to_milliseconds(exchange->lasted_.value_or(duration(0))) >=
                   stall_timeout.count());
    }
}
