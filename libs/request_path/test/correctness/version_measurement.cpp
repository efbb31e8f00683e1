// What the node beside a target counts for a running roll-out.
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

constexpr std::string_view get_request = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
constexpr std::chrono::milliseconds short_latency{20};

auto make_row() -> row
{
    auto row = unrepeatable_row();
    row.retries_ = 0;
    row.target_latency_ = short_latency;
    return row;
}

/** A mapping by which every answer with status 503 states that its request has not run. */
auto mapping_of_rejecting_targets() -> header_mapping
{
    auto mapping = native_header_mapping();
    mapping.classify_response_ = [](const exchange_request&, const message_head& response) {
        constexpr unsigned unavailable_status = 503;
        return response.status_ == unavailable_status ? response_kind::not_run
                                                      : response_kind::genuine;
    };
    return mapping;
}

/** A node with a target that has a version_meter. */
struct measured_node {
    node_fixture nodes_;
    std::shared_ptr<version_meter> meter_ = std::make_shared<version_meter>();

    explicit measured_node(std::uint16_t target_port, std::optional<instant> cold_start_end = {},
                           const row& row = make_row())
        : nodes_(call_path::local, target_port, row, 1'000, mapping_of_rejecting_targets())
    {
        auto& state = nodes_.target_node().state_;
        auto targets = std::make_shared<local_targets>(*state.targets());
        targets->front().versions_ = meter_;
        targets->front().cold_start_end_ = cold_start_end;
        state.publish_targets(std::move(targets));
    }

    /** Sends one call and returns what was counted for it. */
    auto count_call() -> version_sample
    {
        const auto caller = nodes_.connect();
        caller->write(get_request);
        BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
        const auto samples = meter_->take_samples();
        return samples.empty() ? version_sample{} : samples.front();
    }
};

/** Returns a script that answers a request with \p response. */
auto answer_with(std::string response)
{
    return [response = std::move(response)](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            peer.write(response);
        }
    };
}

auto expect(std::uint64_t responses, std::uint64_t failures, std::uint64_t slow) -> version_sample
{
    return {{}, {}, responses > 0 ? "dialer" : "", responses, failures, slow};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_server_error_counts_as_a_failure)
{
    const scripted_server target(answer_with("HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n"));
    const auto counted = measured_node(target.port()).count_call();
    BOOST_TEST(counted.row_ == "dialer");
    BOOST_TEST(counted.responses_ == 1U);
    BOOST_TEST(counted.failures_ == 1U);
}

BOOST_AUTO_TEST_CASE(a_broken_connection_counts_as_a_failure)
{
    const scripted_server target([](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.abort();
        }
    });
    BOOST_TEST(measured_node(target.port()).count_call().failures_ == 1U);
}

// A target that is full rejects requests whatever its version is.
BOOST_AUTO_TEST_CASE(a_response_that_states_not_run_is_not_counted)
{
    const scripted_server target(answer_with("HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n"));
    BOOST_CHECK(measured_node(target.port()).count_call() == expect(0, 0, 0));
}

BOOST_AUTO_TEST_CASE(a_slow_response_is_counted_unless_the_target_is_in_its_cold_start)
{
    const scripted_server target([](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            QTimer::singleShot(short_latency * 3, [&peer] { peer.write(make_response("late")); });
        }
    });
    BOOST_CHECK(measured_node(target.port()).count_call() == expect(1, 0, 1));
    const auto cold_start_end = monotonic_now() + std::chrono::minutes(1);
    BOOST_CHECK(measured_node(target.port(), cold_start_end).count_call() == expect(1, 0, 0));
}

// Otherwise a version so slow that its calls reach their deadlines would show no slow response.
BOOST_AUTO_TEST_CASE(a_call_that_ends_at_its_deadline_counts_as_slow)
{
    const scripted_server target([](loopback_socket&) {});
    auto row = make_row();
    row.timeout_ = short_latency * 5;
    BOOST_CHECK(measured_node(target.port(), {}, row).count_call() == expect(1, 0, 1));
}
