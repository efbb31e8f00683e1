// A request that was withdrawn has not run and never runs, at whatever moment it is withdrawn.
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fmt/core.h>

#include "../node_fixture.h"
#include "base/random.h"
#include "request_path/local_exchange.h"
#include "request_path/peer_exchange.h"

using namespace sycamorewinch;

namespace {

constexpr std::chrono::milliseconds time_to_settle{100};

auto numbered_request(unsigned number) -> exchange_request
{
    exchange_request request;
    request.head_.method_ = "GET";
    request.head_.path_ = fmt::format("/x{}.", number);
    request.head_.headers_ = {{"host", "a"}};
    request.service_ = "dialer";
    request.target_ = "d1";
    request.time_left_ = std::chrono::seconds(60);
    request.latency_budget_ = std::chrono::seconds(60);
    request.is_last_choice_ = true;
    return request;
}

/** An exchange through the node beside the target, or with the target itself. */
struct observed_exchange {
    std::optional<refusal> refusal_;
    bool has_response_ = false;
    exchange_controls controls_;

    auto hooks() -> exchange_hooks
    {
        auto hooks = make_no_op_hooks();
        hooks.on_response_ = [this](const message_head&) {
            has_response_ = true;
        };
        hooks.on_refused_ = [this](const refusal& refusal) {
            refusal_ = refusal;
        };
        return hooks;
    }

    [[nodiscard]] auto has_not_run() const -> bool
    {
        return refusal_ && refusal_->outcome_ == request_outcome::not_run;
    }
};

/** Starts exchanges with the target of \p nodes in this thread. */
class exchange_starter {
  public:
    exchange_starter(node_fixture& nodes, call_path path) : nodes_(nodes), path_(path) {}

    auto start(const exchange_request& request) -> std::unique_ptr<observed_exchange>
    {
        auto exchange = std::make_unique<observed_exchange>();
        const auto address = nodes_.target_node().worker_->addresses().peers_;
        exchange->controls_ =
            path_ == call_path::local
                ? start_local_exchange(nodes_.target_node().state_, targets_, request,
                                       exchange->hooks())
                : start_peer_exchange(peers_, address, request, exchange->hooks());
        return exchange;
    }

  private:
    node_fixture& nodes_;
    call_path path_;
    target_connections targets_;
    peer_connections peers_{*cluster_key::create("0123456789abcdef0123456789abcdef")};
};

/** Returns the numbers of the requests that \p target has received. */
auto received_numbers(const scripted_server& target) -> std::set<unsigned>
{
    std::set<unsigned> numbers;
    for (const auto& connection : target.connections()) {
        const auto& bytes = connection->received();
        for (auto at = bytes.find("GET /x"); at != std::string::npos;
             at = bytes.find("GET /x", at + 1)) {
            numbers.insert(static_cast<unsigned>(std::stoul(bytes.substr(at + 6))));
        }
    }
    return numbers;
}

/** Withdraws requests at random moments while the target answers one after the other, and checks
 * that none of those that are reported as not run has reached it. */
void withdraw_at_random_moments(call_path path, unsigned seed)
{
    constexpr unsigned request_count = 600;
    constexpr unsigned max_open = 12;
    constexpr unsigned slots = 3;
    const scripted_server target([](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.write(make_response("done"));
        }
    });
    node_fixture nodes(path, target.port(), unrepeatable_row(), slots);
    exchange_starter starter(nodes, path);
    auto random = seeded_random(seed);
    std::map<unsigned, std::unique_ptr<observed_exchange>> exchanges;
    std::set<unsigned> open;
    std::set<unsigned> not_run;
    const auto sweep = [&] {
        std::erase_if(open, [&](unsigned number) {
            const auto& exchange = *exchanges[number];
            if (exchange.has_not_run()) {
                not_run.insert(number);
            }
            return exchange.refusal_.has_value() || exchange.has_response_;
        });
    };
    for (unsigned number = 1; number <= request_count; ++number) {
        exchanges[number] = starter.start(numbered_request(number));
        open.insert(number);
        if (random() % 6 == 0) {
            run_events(std::chrono::milliseconds(random() % 3));
        }
        for (const auto candidate : std::set(open)) {
            if (random() % 16 == 0) {
                const auto& exchange = *exchanges[candidate];
                if (exchange.controls_.withdraw_() == withdrawal::withdrawn) {
                    not_run.insert(candidate);
                    open.erase(candidate);
                }
            }
        }
        sweep();
        if (open.size() > max_open) {
            BOOST_TEST(wait_until([&] {
                sweep();
                return open.size() <= max_open / 2;
            }));
        }
    }
    BOOST_TEST(wait_until([&] {
        sweep();
        return open.empty();
    }));
    run_events(time_to_settle);
    const auto received = received_numbers(target);
    BOOST_TEST_MESSAGE(not_run.size() << " withdrawn, " << received.size() << " received");
    BOOST_TEST(not_run.size() > request_count / 20);
    BOOST_TEST(received.size() > request_count / 20);
    for (const auto number : not_run) {
        BOOST_TEST(!received.contains(number), "request " << number << " was withdrawn, but sent");
    }
}

void check_request_without_time_left(call_path path)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(path, silent_target.port());
    exchange_starter starter(nodes, path);
    auto request = numbered_request(1);
    request.time_left_ = std::chrono::milliseconds(0);
    const auto exchange = starter.start(request);
    BOOST_TEST(wait_until([&] { return exchange->refusal_.has_value(); }));
    BOOST_TEST(exchange->has_not_run());
    BOOST_TEST((exchange->refusal_->reason_ == refusal_reason::not_started_in_time));
    BOOST_TEST(silent_target.connections().empty());
}

} // namespace

// Guards against a request that is sent from the queue after its withdrawal was confirmed.
BOOST_AUTO_TEST_CASE(a_request_that_another_node_has_withdrawn_from_its_queue_is_never_sent)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(call_path::through_peer, silent_target.port(), unrepeatable_row(), 1);
    exchange_starter starter(nodes, call_path::through_peer);
    const auto running = starter.start(numbered_request(1));
    BOOST_TEST(wait_until([&] { return received_numbers(silent_target).size() == 1; }));
    const auto waiting = starter.start(numbered_request(2));
    BOOST_TEST(wait_until([&] { return nodes.target_node().state_.calls_in_flight() == 2; }));
    BOOST_TEST((waiting->controls_.withdraw_() == withdrawal::pending));
    BOOST_TEST(wait_until([&] { return waiting->refusal_.has_value(); }));
    BOOST_TEST(waiting->has_not_run());
    BOOST_TEST((waiting->refusal_->reason_ == refusal_reason::not_started_in_time));
    running->controls_.cancel_(); // frees the slot
    run_events(time_to_settle);
    BOOST_TEST(received_numbers(silent_target) == std::set<unsigned>{1},
               boost::test_tools::per_element());
    BOOST_TEST(wait_until([&] { return nodes.target_node().state_.calls_in_flight() == 0; }));
}

// Guards against a withdrawal that reports a request as not run after its target has received it,
// and against the target keeping a slot for it.
BOOST_AUTO_TEST_CASE(the_withdrawal_of_a_request_that_was_sent_cancels_it_as_unknown)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(call_path::through_peer, silent_target.port(), unrepeatable_row(), 1);
    exchange_starter starter(nodes, call_path::through_peer);
    const auto running = starter.start(numbered_request(1));
    BOOST_TEST(wait_until([&] { return received_numbers(silent_target).size() == 1; }));
    BOOST_TEST((running->controls_.withdraw_() == withdrawal::pending));
    BOOST_TEST(wait_until([&] { return running->refusal_.has_value(); }));
    BOOST_TEST((running->refusal_->outcome_ == request_outcome::unknown));
    BOOST_TEST(running->refusal_->reached_target_);
    BOOST_TEST(wait_until([&] { return silent_target.connections().front()->is_closed(); }));
}

// Guards against a request that waits for a link being sent after it was withdrawn.
BOOST_AUTO_TEST_CASE(a_request_that_is_withdrawn_before_its_link_is_open_is_never_sent)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(call_path::through_peer, silent_target.port());
    exchange_starter starter(nodes, call_path::through_peer);
    const auto withdrawn = starter.start(numbered_request(1));
    BOOST_TEST((withdrawn->controls_.withdraw_() == withdrawal::withdrawn));
    const auto next = starter.start(numbered_request(2));
    BOOST_TEST(wait_until([&] { return received_numbers(silent_target).contains(2); }));
    BOOST_TEST(received_numbers(silent_target).size() == 1U);
    next->controls_.cancel_();
}

// Guards against races between a withdrawal and the hand-over to the target.
BOOST_AUTO_TEST_CASE(no_request_that_is_withdrawn_at_its_own_node_reaches_its_target)
{
    withdraw_at_random_moments(call_path::local, 11);
}

BOOST_AUTO_TEST_CASE(no_request_that_is_withdrawn_at_another_node_reaches_its_target)
{
    withdraw_at_random_moments(call_path::through_peer, 12);
}

// Guards against a wait that leaves no time for the refusal to reach the caller's node.
BOOST_AUTO_TEST_CASE(a_request_leaves_the_queue_before_its_deadline)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(call_path::local, silent_target.port(), unrepeatable_row(), 1);
    exchange_starter starter(nodes, call_path::local);
    const auto running = starter.start(numbered_request(1));
    auto request = numbered_request(2);
    request.time_left_ = std::chrono::seconds(60);
    request.refusal_delay_ = request.time_left_ - std::chrono::milliseconds(150);
    const auto waiting = starter.start(request);
    const auto started_at = monotonic_now();
    BOOST_TEST(wait_until([&] { return waiting->refusal_.has_value(); }, std::chrono::seconds(20)));
    BOOST_TEST(waiting->has_not_run());
    BOOST_TEST((waiting->refusal_->reason_ == refusal_reason::not_started_in_time));
    BOOST_TEST(to_milliseconds(monotonic_now() - started_at) >= 149);
    running->controls_.cancel_();
}

// Guards against a keyed request that is sent, or whose key stays reserved, when the reservation is
// granted after the refusal.
BOOST_AUTO_TEST_CASE(a_request_refused_before_its_reservation_is_granted_is_never_sent)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(call_path::local, silent_target.port());
    std::optional<run_operation> reserved;
    reservation_callback reply;
    std::vector<run_operation_kind> ends;
    nodes.target_node().state_.set_run_record_hooks(
        {[&](const run_operation& operation, const reservation_callback& callback) {
             reserved = operation;
             reply = callback;
         },
         [&](const run_operation& operation) {
             ends.push_back(operation.kind_);
         }});
    exchange_starter starter(nodes, call_path::local);
    auto request = numbered_request(1);
    request.head_.headers_.push_back({"idempotency-key", "k"});
    request.refusal_delay_ = request.time_left_ - std::chrono::milliseconds(50);
    const auto exchange = starter.start(request);
    BOOST_TEST_REQUIRE(reserved.has_value());
    BOOST_TEST(
        wait_until([&] { return exchange->refusal_.has_value(); }, std::chrono::seconds(20)));
    BOOST_TEST(exchange->has_not_run());
    reply({reserved->attempt_, run_verdict::granted, {}});
    BOOST_TEST(wait_until([&] { return !ends.empty(); }));
    run_events(time_to_settle);
    BOOST_TEST((ends == std::vector{run_operation_kind::release}));
    BOOST_TEST(silent_target.connections().empty());
}

// Guards against a request of unknown outcome after its time ended on the way to this node.
BOOST_AUTO_TEST_CASE(a_request_without_time_left_has_not_run)
{
    check_request_without_time_left(call_path::local);
}

BOOST_AUTO_TEST_CASE(a_request_that_arrives_at_another_node_without_time_left_has_not_run)
{
    check_request_without_time_left(call_path::through_peer);
}
