// At its deadline, a call that has certainly not run is refused with status 503, which lets the
// caller repeat it, and any other call with 504. One case for each row of the table in
// docs/design/calls.md, "At the deadline"; withdrawn_requests.cpp has the cases of single
// exchanges.
#include <array>
#include <cstring>
#include <map>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fmt/core.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../node_fixture.h"
#include "../scripted_node.h"

using namespace sycamorewinch;

namespace {

/** Long enough to open a link on a busy machine, and below the handshake timeout of a link (500
 * ms).
 */
constexpr std::chrono::milliseconds time_allowed{400};
/** Longest time after the deadline until the response: max_withdrawal_time in caller_call.cpp, and
 * what a busy machine may add. */
constexpr std::chrono::milliseconds max_delay_after_deadline{50 + 350};

/** The row allows a wait in the queue that is far longer than the time of the calls. */
auto patient_row() -> row
{
    auto row = unrepeatable_row();
    row.target_latency_ = std::chrono::milliseconds(10'000);
    return row;
}

/** A call that states time_allowed. */
struct timed_call {
    instant sent_at_ = monotonic_now();
    std::optional<duration> waited_;
    std::unique_ptr<loopback_socket> caller_;

    explicit timed_call(const node_fixture& nodes, std::chrono::milliseconds allowed = time_allowed)
        : caller_(loopback_socket::dial(nodes.caller_port(), [this](loopback_socket& peer) {
              if (!waited_ && is_complete_response(peer.received())) {
                  waited_ = monotonic_now() - sent_at_;
              }
          }))
    {
        caller_->write(
            fmt::format("GET /x HTTP/1.1\r\nhost: a\r\nsycamorewinch-deadline-ms: {}\r\n\r\n",
                        allowed.count()));
    }

    void wait() const
    {
        BOOST_TEST(wait_until([this] { return waited_.has_value(); }));
    }

    /** Checks that the response states that the call has not run. */
    void check_not_run() const
    {
        wait();
        BOOST_TEST_CONTEXT(caller_->received())
        {
            BOOST_TEST(caller_->received().starts_with("HTTP/1.1 503 "));
            BOOST_TEST(has("sycamorewinch-refusal: not_started_in_time"));
            BOOST_TEST(has("sycamorewinch-outcome: not-run"));
            BOOST_TEST(has("retry-after: "));
        }
        check_in_time();
    }

    /** Checks that the response states that the call may have run. */
    void check_unknown() const
    {
        wait();
        BOOST_TEST_CONTEXT(caller_->received())
        {
            BOOST_TEST(caller_->received().starts_with("HTTP/1.1 504 "));
            BOOST_TEST(has("sycamorewinch-refusal: deadline_passed"));
            BOOST_TEST(has("sycamorewinch-outcome: unknown"));
        }
        check_in_time();
    }

    void check_in_time() const
    {
        BOOST_TEST(to_milliseconds(waited_.value_or(duration(0))) <
                   (time_allowed + max_delay_after_deadline).count());
    }

    [[nodiscard]] auto has(std::string_view text) const -> bool
    {
        return caller_->received().find(text) != std::string::npos;
    }
};

/** Has the calls of \p nodes sent to targets `d1` to `dN` beside the nodes at \p addresses. */
void publish_targets_beside(node_fixture& nodes, const row& row,
                            const std::vector<std::string>& addresses)
{
    std::vector<target_record> records;
    for (const auto& address : addresses) {
        target_record record;
        record.service_ = row.service_;
        record.target_ = "d" + std::to_string(records.size() + 1);
        record.node_address_ = address;
        record.slots_ = 1;
        records.push_back(std::move(record));
    }
    nodes.entry_node().state_.publish_routes(
        route_table::create(std::make_shared<const table>(make_table(1, {row})), records));
}

/** Returns how many requests \p target has received. */
auto request_count(const scripted_server& target) -> std::size_t
{
    std::size_t count = 0;
    for (const auto& connection : target.connections()) {
        const auto& bytes = connection->received();
        for (auto at = bytes.find("GET /x"); at != std::string::npos;
             at = bytes.find("GET /x", at + 1)) {
            ++count;
        }
    }
    return count;
}

/** A port on which connections are never established: nothing accepts them and the queue is full.
 */
class unresponsive_port {
  public:
    unresponsive_port()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        BOOST_TEST(::bind(listener_, generic, length) == 0);
        BOOST_TEST(::listen(listener_, 0) == 0);
        BOOST_TEST(::getsockname(listener_, generic, &length) == 0);
        port_ = ntohs(address.sin_port);
        for (const auto descriptor : fillers_) {
            (void)::connect(descriptor, generic, length);
        }
    }
    unresponsive_port(const unresponsive_port&) = delete;
    auto operator=(const unresponsive_port&) -> unresponsive_port& = delete;
    unresponsive_port(unresponsive_port&&) = delete;
    auto operator=(unresponsive_port&&) -> unresponsive_port& = delete;
    ~unresponsive_port()
    {
        for (const auto descriptor : fillers_) {
            ::close(descriptor);
        }
        ::close(listener_);
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

  private:
    static auto open(int flags) -> int { return ::socket(AF_INET, SOCK_STREAM | flags, 0); }

    int listener_ = open(0);
    std::array<int, 4> fillers_{open(SOCK_NONBLOCK), open(SOCK_NONBLOCK), open(SOCK_NONBLOCK),
                                open(SOCK_NONBLOCK)};
    std::uint16_t port_ = 0;
};

/** Checks a call that waits in the queue beside the target while another one has its only slot. */
void check_call_in_queue(call_path path)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(path, silent_target.port(), patient_row(), 1);
    const timed_call running(nodes, 10 * time_allowed);
    BOOST_TEST(wait_until([&] { return request_count(silent_target) == 1; }));
    const timed_call waiting(nodes);
    waiting.check_not_run();
    BOOST_TEST(!running.waited_.has_value());
    running.wait(); // its slot is free now
    run_events(std::chrono::milliseconds(50));
    BOOST_TEST(request_count(silent_target) == 1U);
}

void check_call_that_waits_for_target_connection(call_path path)
{
    const unresponsive_port target;
    node_fixture nodes(path, target.port());
    timed_call(nodes).check_not_run();
}

void check_call_at_silent_target(call_path path)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(path, silent_target.port());
    const timed_call call(nodes);
    call.check_unknown();
    BOOST_TEST(to_milliseconds(call.waited_.value_or(duration(0))) >= time_allowed.count());
    BOOST_TEST(request_count(silent_target) == 1U);
}

} // namespace

// Guards against status 504 for a request of which no byte was written.
BOOST_AUTO_TEST_CASE(a_call_that_waits_for_a_link_has_not_run)
{
    const scripted_server mute_node([](loopback_socket&) {});
    node_fixture nodes(call_path::local, 1);
    publish_targets_beside(nodes, unrepeatable_row(),
                           {fmt::format("127.0.0.1:{}", mute_node.port())});
    timed_call(nodes).check_not_run();
}

// Guards against a wait beside the target that lasts until the caller's node gives up, and against
// a request that is sent after it was refused.
BOOST_AUTO_TEST_CASE(a_call_in_the_queue_of_its_own_node_has_not_run)
{
    check_call_in_queue(call_path::local);
}

BOOST_AUTO_TEST_CASE(a_call_in_the_queue_of_another_node_has_not_run)
{
    check_call_in_queue(call_path::through_peer);
}

// Guards against status 504 for a request that waits for the TCP connect to its target.
BOOST_AUTO_TEST_CASE(a_call_that_waits_for_a_connection_to_its_target_has_not_run)
{
    check_call_that_waits_for_target_connection(call_path::local);
}

BOOST_AUTO_TEST_CASE(a_call_that_waits_for_a_connection_beside_another_node_has_not_run)
{
    check_call_that_waits_for_target_connection(call_path::through_peer);
}

// Guards against a request that a target has being reported as not run.
BOOST_AUTO_TEST_CASE(a_call_at_a_target_beside_its_own_node_is_unknown)
{
    check_call_at_silent_target(call_path::local);
}

BOOST_AUTO_TEST_CASE(a_call_at_a_target_beside_another_node_is_unknown)
{
    check_call_at_silent_target(call_path::through_peer);
}

// Guards against status 504 although the other node states that the request has not run.
BOOST_AUTO_TEST_CASE(a_call_that_the_other_node_withdraws_has_not_run)
{
    const scripted_node other([](const node_message& message) {
        if (message.withdrawn_) {
            message.refuse(*message.withdrawn_, refusal_reason::not_started_in_time);
        }
    });
    node_fixture nodes(call_path::local, 1);
    publish_targets_beside(nodes, unrepeatable_row(), {other.address()});
    const timed_call call(nodes);
    call.check_not_run();
    BOOST_TEST(other.request_count() == 1U);
    BOOST_TEST(to_milliseconds(call.waited_.value_or(duration(0))) >= time_allowed.count());
}

// Guards against a refusal of the queue that crosses the withdrawal being lost.
BOOST_AUTO_TEST_CASE(a_refusal_that_arrives_after_the_deadline_counts)
{
    const scripted_node other([](const node_message& message) {
        if (message.withdrawn_) {
            message.refuse(*message.withdrawn_, refusal_reason::target_full);
        }
    });
    node_fixture nodes(call_path::local, 1);
    publish_targets_beside(nodes, unrepeatable_row(), {other.address(), other.address()});
    timed_call(nodes).check_not_run();
    BOOST_TEST(other.request_count() == 1U); // no retry after the deadline
}

// Guards against a call that is not answered because the other node does not answer, and against a
// request of unknown outcome being reported as not run.
BOOST_AUTO_TEST_CASE(a_call_without_confirmation_is_unknown_soon_after_its_deadline)
{
    const scripted_node silent([](const node_message&) {});
    node_fixture nodes(call_path::local, 1);
    publish_targets_beside(nodes, unrepeatable_row(), {silent.address()});
    timed_call(nodes).check_unknown();
}

// Guards against a response that crosses the withdrawal being taken for a confirmation.
BOOST_AUTO_TEST_CASE(a_call_whose_response_crosses_the_withdrawal_is_unknown)
{
    const scripted_node other([](const node_message& message) {
        if (message.withdrawn_) {
            message.connection_.respond(*message.withdrawn_,
                                        {{":status", "503"}, {"content-length", "0"}}, true);
        }
    });
    node_fixture nodes(call_path::local, 1);
    publish_targets_beside(nodes, unrepeatable_row(), {other.address()});
    timed_call(nodes).check_unknown();
}

// Guards against an earlier attempt that may have run being forgotten when the last one has not.
BOOST_AUTO_TEST_CASE(a_call_whose_first_attempt_may_have_run_is_unknown)
{
    bool is_first = true;
    const scripted_node other([&](const node_message& message) {
        if (message.withdrawn_) {
            message.refuse(*message.withdrawn_, refusal_reason::not_started_in_time);
        }
        else if (std::exchange(is_first, false)) {
            message.refuse(message.stream_, refusal_reason::target_failed);
        }
    });
    auto row = unrepeatable_row();
    row.repeatable_ = true;
    node_fixture nodes(call_path::local, 1);
    publish_targets_beside(nodes, row, {other.address(), other.address()});
    timed_call(nodes).check_unknown();
    BOOST_TEST(other.request_count() == 2U);
}

// Guards against a response of which a part has arrived being reported as not run.
BOOST_AUTO_TEST_CASE(a_call_whose_response_has_begun_is_unknown)
{
    const scripted_server target([](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.write("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nfirst part");
        }
    });
    for (const auto path : {call_path::local, call_path::through_peer}) {
        node_fixture nodes(path, target.port());
        timed_call(nodes).check_unknown();
    }
}

// Guards against a node that is ended by force reporting its waiting calls as unknown.
BOOST_AUTO_TEST_CASE(a_waiting_call_of_a_node_that_is_ended_by_force_has_not_run)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(call_path::local, silent_target.port(), patient_row(), 1);
    const timed_call running(nodes, std::chrono::seconds(60));
    BOOST_TEST(wait_until([&] { return request_count(silent_target) == 1; }));
    const timed_call waiting(nodes, std::chrono::seconds(60));
    BOOST_TEST(wait_until([&] { return nodes.entry_node().state_.calls_in_flight() == 2; }));
    static_cast<void>(nodes.entry_node().worker_->cut_calls());
    running.check_unknown();
    waiting.check_not_run();
    BOOST_TEST(request_count(silent_target) == 1U);
}
