#include <boost/test/unit_test.hpp>

#include "distribution/subscriber.h"

using namespace sycamorewinch;

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(250);

auto make_subscriber() -> subscriber
{
    return subscriber{{"node-1", "zone-a", false, seeded_random(1)}};
}

/** Advances the time by \p span and answers each proof request with \p version, if set. Returns
 * whether the subscriber asked to change its upstream. */
auto advance(subscriber& node, instant& now, duration span, std::optional<std::uint64_t> version)
    -> bool
{
    bool changed_upstream = false;
    for (const auto end = now + span; now < end;) {
        now += tick_interval;
        node.tick(now);
        const auto output = node.take_output();
        changed_upstream = changed_upstream || output.change_upstream_;
        for (const auto& message : output.messages_) {
            const auto* request = std::get_if<currency_request>(&message);
            if (request != nullptr && version) {
                BOOST_TEST(node.on_message(currency_proof{request->nonce_, *version}).has_value());
            }
        }
    }
    return changed_upstream;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_upstream_that_proves_the_held_version_is_kept)
{
    auto node = make_subscriber();
    instant now{};
    node.on_connected(now);
    BOOST_TEST(!advance(node, now, std::chrono::minutes(5), 0));
    BOOST_TEST((now - node.proved_current_at().value() <= std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(a_silent_upstream_is_abandoned)
{
    auto node = make_subscriber();
    instant now{};
    node.on_connected(now);
    BOOST_TEST(advance(node, now, std::chrono::seconds(9), std::nullopt));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_stays_behind_the_proved_version_is_abandoned)
{
    auto node = make_subscriber();
    instant now{};
    node.on_connected(now);
    BOOST_TEST(advance(node, now, std::chrono::seconds(9), 10));
    BOOST_TEST(!node.enforced());
}

BOOST_AUTO_TEST_CASE(a_subscriber_that_was_paused_keeps_its_upstream)
{
    auto node = make_subscriber();
    instant now{};
    node.on_connected(now);
    BOOST_TEST(!advance(node, now, std::chrono::seconds(5), 0));
    now += std::chrono::minutes(10);
    BOOST_TEST(!advance(node, now, std::chrono::seconds(5), 0));
}

// Guards against leaving a working upstream during a series of changes: each proof names a version
// that arrives only after the next proof has been requested.
BOOST_AUTO_TEST_CASE(a_proof_counts_when_its_version_arrives_after_the_next_request)
{
    constexpr auto period = std::chrono::milliseconds(400);
    subscriber node({"node-1", "zone-a", false, seeded_random(1), period, period * 5 / 2});
    instant now{};
    node.on_connected(now);
    auto held = make_table(0, {});
    std::optional<std::uint64_t> nonce;
    for (std::uint64_t version = 1; version <= 20; ++version) {
        for (const auto& message : node.take_output().messages_) {
            if (const auto* request = std::get_if<currency_request>(&message)) {
                nonce = request->nonce_;
            }
        }
        BOOST_REQUIRE(nonce);
        const auto next = make_table(version, {{.service_ = "s" + std::to_string(version)}});
        BOOST_REQUIRE(node.on_message(currency_proof{*nonce, version}).has_value());
        now += period; // the next request is sent before the update arrives
        node.tick(now);
        BOOST_TEST(!node.take_output().change_upstream_);
        node.request_proof();
        BOOST_REQUIRE(
            node.on_message(table_update{held.version_, next.version_, difference(held, next)})
                .has_value());
        held = next;
        BOOST_REQUIRE(node.proved_current_at());
        BOOST_TEST((now - *node.proved_current_at() <= period));
    }
}

// Guards against taking the knowledge of a control process for newer than it is.
BOOST_AUTO_TEST_CASE(a_proof_is_valid_as_of_its_age_before_the_request)
{
    auto node = make_subscriber();
    instant now{std::chrono::seconds(100)};
    node.tick(now);
    node.on_connected(now);
    for (const auto& message : node.take_output().messages_) {
        if (const auto* request = std::get_if<currency_request>(&message)) {
            BOOST_REQUIRE(node.on_message(currency_proof{request->nonce_, 0, 700}).has_value());
        }
    }
    BOOST_REQUIRE(node.proved_current_at());
    BOOST_TEST((now - *node.proved_current_at() == std::chrono::milliseconds(700)));
}
