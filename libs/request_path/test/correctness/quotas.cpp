// Quotas of organisations between real nodes; libs/quota has the tests of the decisions.
#include <boost/test/unit_test.hpp>
#include <fmt/core.h>

#include "../node_fixture.h"
#include "../scripted_node.h"

using namespace sycamorewinch;

namespace {

constexpr std::uint64_t thousandths = 1'000; ///< Per request.
constexpr std::string_view api_key_field = "sycamorewinch-api-key: k1\r\n";

auto acme(std::uint64_t per_second) -> organisation
{
    return {.name_ = "acme",
            .keys_ = {digest_of_api_key("k1")},
            .rate_thousandths_ = per_second * thousandths};
}

/** A target that responds to each whole request and counts them and the bytes of their bodies. */
struct counting_target {
    std::size_t requests_ = 0;
    std::size_t body_bytes_ = 0;
    scripted_server server_{[this](loopback_socket& peer) {
        const auto& request = peer.received();
        const bool is_whole = request.starts_with("GET") ? request.ends_with("\r\n\r\n")
                                                         : is_complete_response(request);
        if (!is_whole) {
            return;
        }
        ++requests_;
        body_bytes_ += request.size() - request.find("\r\n\r\n") - 4;
        peer.clear();
        peer.write(make_response("done"));
    }};
};

/** Two nodes, of which the one beside the target holds the quota of acme. */
struct quota_fixture {
    counting_target target_;
    node_fixture nodes_{call_path::through_peer, target_.server_.port()};

    explicit quota_fixture(std::uint64_t per_second)
    {
        nodes_.publish(unrepeatable_row(), {acme(per_second)});
    }

    /** Sends a request that consists of \p head_fields and \p body; returns the response. */
    [[nodiscard]] auto call(const std::string& method = "GET", const std::string& head_fields = {},
                            const std::string& body = {}) const -> std::string
    {
        const auto caller = nodes_.connect();
        caller->write(fmt::format("{} /x HTTP/1.1\r\nhost: a\r\n{}{}\r\n{}", method, api_key_field,
                                  head_fields, body));
        BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
        return caller->received();
    }

    /** Calls until the holder's bucket, which begins empty, has a token. */
    void call_until_served() const
    {
        BOOST_TEST(wait_until([this] { return call().starts_with("HTTP/1.1 200"); }));
    }
};

auto retry_after_ms(const std::string& response) -> double
{
    constexpr std::string_view field = "retry-after: ";
    constexpr double milliseconds_per_second = 1'000;
    const auto at = response.find(field);
    BOOST_REQUIRE(at != std::string::npos);
    return std::stod(response.substr(at + field.size())) * milliseconds_per_second;
}

/** A node whose calls wait for tokens of a holder that never answers. */
struct silent_holder_fixture {
    scripted_node holder_{[](const node_message&) {
    }};
    counting_target target_;
    node_fixture nodes_{call_path::local, target_.server_.port()};

    silent_holder_fixture()
    {
        target_record record;
        record.service_ = unrepeatable_row().service_;
        record.target_ = "d1";
        record.node_address_ = holder_.address();
        nodes_.entry_node().state_.publish_routes(
            std::make_shared<const table>(make_table(1, {unrepeatable_row()}, {}, {acme(10)})),
            {record});
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(calls_beyond_the_quota_are_refused_as_not_run_with_a_true_retry_time)
{
    constexpr std::uint64_t rate = 10;
    constexpr unsigned calls = 100;
    const auto began = monotonic_now();
    const quota_fixture fixture(rate);
    fixture.call_until_served();
    std::size_t served = 1;
    for (unsigned number = 0; number < calls; ++number) {
        const auto response = fixture.call();
        if (response.starts_with("HTTP/1.1 200")) {
            ++served;
            continue;
        }
        BOOST_TEST(response.starts_with("HTTP/1.1 429"));
        BOOST_TEST(response.find("sycamorewinch-refusal: quota_exceeded") != std::string::npos);
        BOOST_TEST(response.find("sycamorewinch-outcome: not-run") != std::string::npos);
        BOOST_TEST(retry_after_ms(response) > 0);
        BOOST_TEST(retry_after_ms(response) <= 350.0); // one token, and at most 250 ms of spread
    }
    BOOST_TEST(served == fixture.target_.requests_);
    const auto most =
        to_seconds(monotonic_now() - began) * rate + bucket_capacity({rate * 1'000, 0});
    BOOST_TEST(static_cast<double>(served) <= most);
    BOOST_TEST(served < calls);
}

BOOST_AUTO_TEST_CASE(a_body_that_arrives_during_the_wait_for_a_token_is_passed_on_whole)
{
    constexpr std::size_t body_bytes = 300'000;
    const quota_fixture fixture(10'000);
    fixture.call_until_served();
    const auto length = fmt::format("content-length: {}\r\n", body_bytes);
    BOOST_TEST(wait_until([&] {
        return fixture.call("POST", length, std::string(body_bytes, 'b'))
            .starts_with("HTTP/1.1 200");
    }));
    BOOST_TEST(fixture.target_.body_bytes_ == body_bytes);
}

BOOST_AUTO_TEST_CASE(an_organisation_without_a_rate_is_not_limited)
{
    const quota_fixture fixture(0);
    constexpr unsigned calls = 50;
    for (unsigned number = 0; number < calls; ++number) {
        BOOST_TEST(fixture.call().starts_with("HTTP/1.1 200"));
    }
}

// Guards against calls that run without a token, or hang, when no node can be asked for one.
BOOST_AUTO_TEST_CASE(calls_are_refused_as_not_run_if_no_holder_answers)
{
    silent_holder_fixture fixture;
    const auto caller = fixture.nodes_.connect();
    caller->write(fmt::format("GET /x HTTP/1.1\r\nhost: a\r\n{}\r\n", api_key_field));
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    BOOST_TEST(caller->received().starts_with("HTTP/1.1 503"));
    BOOST_TEST(caller->received().find("sycamorewinch-refusal: quota_unavailable") !=
               std::string::npos);
    BOOST_TEST(caller->received().find("sycamorewinch-outcome: not-run") != std::string::npos);
    BOOST_TEST(caller->received().find("retry-after: ") != std::string::npos);
    BOOST_TEST(fixture.holder_.request_count() == 1U); // the question; no call was sent
}

BOOST_AUTO_TEST_CASE(a_call_whose_deadline_passes_during_the_wait_for_a_token_has_not_run)
{
    const silent_holder_fixture fixture;
    const auto caller = fixture.nodes_.connect();
    caller->write(fmt::format(
        "GET /x HTTP/1.1\r\nhost: a\r\nsycamorewinch-deadline-ms: 50\r\n{}\r\n", api_key_field));
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    BOOST_TEST(caller->received().find("sycamorewinch-outcome: not-run") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_during_the_wait_for_a_token_leaves_no_call_behind)
{
    silent_holder_fixture fixture;
    auto& node = fixture.nodes_.entry_node().state_;
    const auto caller = fixture.nodes_.connect();
    caller->write(fmt::format("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n{}\r\nbody",
                              api_key_field));
    BOOST_TEST(wait_until([&] { return fixture.holder_.request_count() == 1U; }));
    BOOST_TEST(node.calls_in_flight() == 1);
    caller->abort();
    BOOST_TEST(wait_until([&] { return node.calls_in_flight() == 0; }));
}
