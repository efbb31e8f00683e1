#include <boost/test/unit_test.hpp>

#include "distribution/publisher.h"
#include "distribution/subscriber.h"

using namespace sycamorewinch;

namespace {

auto make_rollouts(std::uint64_t sequence, rollout_state state = rollout_state::running)
    -> rollout_set
{
    return {sequence, {{"ledger", "2.1", 7, state, 50}}};
}

auto make_version(std::uint64_t number) -> table_pointer
{
    return std::make_shared<const table>(
        make_table(number, {row{.service_ = "ledger", .path_prefix_ = "/ledger"}}));
}

auto to_rollout_update(const publisher_message& message) -> std::optional<rollout_update>
{
    const auto decoded = decode_distribution_message(*message.bytes_).value();
    const auto* update = std::get_if<rollout_update>(&decoded);
    return update != nullptr ? std::optional(*update) : std::nullopt;
}

/** A publisher with some subscribers; the test delivers the messages between them. */
struct distribution {
    publisher publisher_;
    std::vector<subscriber> subscribers_;

    explicit distribution(std::size_t subscribers = 1)
    {
        for (std::size_t index = 0; index < subscribers; ++index) {
            subscribers_.emplace_back(
                subscriber_options{"node", "zone-a", false, seeded_random(index + 1)});
        }
    }

    /** Delivers the pending messages of both directions once; returns the outputs of the first
     * subscriber before and the publisher after that. */
    auto deliver() -> std::pair<subscriber_output, publisher_output>
    {
        subscriber_output first;
        for (std::size_t index = 0; index < subscribers_.size(); ++index) {
            auto output = subscribers_[index].take_output();
            for (const auto& message : output.messages_) {
                publisher_.on_message(index,
                                      decode_distribution_message(encode_message(message)).value());
            }
            if (index == 0) {
                first = std::move(output);
            }
        }
        auto output = publisher_.take_output();
        for (const auto& message : output.messages_) {
            const auto decoded = decode_distribution_message(*message.bytes_).value();
            BOOST_TEST(subscribers_[message.to_].on_message(decoded).has_value());
        }
        return {std::move(first), std::move(output)};
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(messages_of_rollouts_keep_their_contents)
{
    const auto set = make_rollouts(3, rollout_state::rolled_back);
    const auto update = decode_distribution_message(encode_message(rollout_update{set}));
    BOOST_CHECK(std::get<rollout_update>(*update).rollouts_ == set);
    const version_report report{{{"ledger", "2.1", "ledger-row", 9, 2, 1}},
                                {{"ledger", "2.1", 4, 3}}};
    const auto decoded = decode_distribution_message(encode_message(report));
    BOOST_CHECK(std::get<version_report>(*decoded) == report);
    const auto proof = decode_distribution_message(encode_message(currency_proof{1, 2, 30, 4}));
    BOOST_TEST(std::get<currency_proof>(*proof).rollout_sequence_ == 4U);
}

BOOST_AUTO_TEST_CASE(a_publisher_sends_rollouts_on_subscription_and_on_change)
{
    publisher publisher;
    publisher.on_message(1, subscribe{"n", "zone-a", false, {}});
    BOOST_TEST(publisher.take_output().messages_.empty()); // no roll-out was ever ordered
    publisher.set_rollouts(make_rollouts(5));
    const auto changed = publisher.take_output();
    BOOST_REQUIRE(changed.messages_.size() == 1U);
    BOOST_TEST(to_rollout_update(changed.messages_.front())->rollouts_.sequence_ == 5U);
    publisher.set_rollouts(make_rollouts(4, rollout_state::completed)); // older: ignored
    BOOST_TEST(publisher.take_output().messages_.empty());
    publisher.on_message(2, subscribe{"m", "zone-a", false, {}});
    const auto subscribed = publisher.take_output();
    BOOST_REQUIRE(subscribed.messages_.size() == 1U);
    BOOST_TEST(to_rollout_update(subscribed.messages_.front())->rollouts_.sequence_ == 5U);
}

BOOST_AUTO_TEST_CASE(a_refresh_is_answered_with_the_sequence_held_and_a_proof_with_the_proved_one)
{
    publisher publisher;
    publisher.on_message(1, subscribe{"n", "zone-a", false, {}});
    publisher.set_rollouts(make_rollouts(5));
    static_cast<void>(publisher.take_output());
    publisher.set_currency_age(duration(0));
    publisher.on_message(1, currency_request{7, true});
    publisher.on_message(1, currency_request{8, false});
    publisher.on_proof(0, 6);
    const auto output = publisher.take_output();
    BOOST_REQUIRE(output.messages_.size() == 2U);
    const auto refresh = decode_distribution_message(*output.messages_[0].bytes_);
    BOOST_TEST(std::get<currency_proof>(*refresh).rollout_sequence_ == 5U);
    const auto proof = decode_distribution_message(*output.messages_[1].bytes_);
    BOOST_TEST(std::get<currency_proof>(*proof).rollout_sequence_ == 6U);
}

// A restarted node that routes by the table alone would send calls to a version that was rolled
// back.
BOOST_AUTO_TEST_CASE(a_restarted_node_enforces_nothing_before_table_and_rollouts_are_proved)
{
    distribution system;
    auto& node = system.subscribers_.front();
    system.publisher_.set_table(make_version(4));
    system.publisher_.set_rollouts(make_rollouts(8)); // the group has accepted sequence 9
    node.on_connected(instant{});
    system.deliver();
    system.publisher_.on_proof(4, 9);
    system.deliver();
    BOOST_TEST(!node.enforced());
    BOOST_TEST(node.enforced_rollouts()->sequence_ == 0U);
    BOOST_TEST(!node.proved_current_at().has_value());
    system.publisher_.set_rollouts(make_rollouts(9, rollout_state::rolled_back));
    system.deliver();
    const auto output = node.take_output();
    BOOST_REQUIRE(output.enforce_ != nullptr);
    BOOST_REQUIRE(output.enforce_rollouts_ != nullptr);
    BOOST_TEST(output.enforce_rollouts_->sequence_ == 9U);
    BOOST_TEST(node.proved_current_at().has_value());
}

// The set must not apply before the table either: both come from one proof.
BOOST_AUTO_TEST_CASE(rollouts_are_not_enforced_before_the_table_is_proved)
{
    distribution system;
    auto& node = system.subscribers_.front();
    system.publisher_.set_table(make_version(4));
    system.publisher_.set_rollouts(make_rollouts(9));
    node.on_connected(instant{});
    system.deliver();
    system.publisher_.on_proof(5, 9);
    system.deliver();
    BOOST_TEST(node.enforced_rollouts()->sequence_ == 0U);
    system.publisher_.set_table(make_version(5));
    node.report_progress({});
    system.deliver();
    BOOST_TEST(node.enforced_rollouts()->sequence_ == 9U);
}

BOOST_AUTO_TEST_CASE(a_node_keeps_the_newest_rollouts_when_its_upstream_has_older_ones)
{
    subscriber node({"node", "zone-a", false, seeded_random(1)});
    node.on_connected(instant{});
    const auto request = std::get<currency_request>(node.take_output().messages_.back());
    BOOST_REQUIRE(node.on_message(currency_proof{request.nonce_, 0, 0, 9}).has_value());
    const auto ended = make_rollouts(9, rollout_state::rolled_back);
    BOOST_REQUIRE(node.on_message(rollout_update{ended}).has_value());
    BOOST_TEST(node.take_output().enforce_rollouts_ != nullptr);
    node.on_disconnected();
    node.on_connected(instant{std::chrono::seconds(1)});
    BOOST_REQUIRE(node.on_message(rollout_update{make_rollouts(8)}).has_value());
    const auto output = node.take_output();
    BOOST_TEST(!output.held_rollouts_);
    BOOST_TEST(!output.enforce_rollouts_);
    BOOST_CHECK(*node.enforced_rollouts() == ended);
}

// A proof that names a set which the node lacks does not count as a proof of the older set.
BOOST_AUTO_TEST_CASE(a_node_without_the_newest_rollouts_is_not_proved_current)
{
    distribution system;
    auto& node = system.subscribers_.front();
    system.publisher_.set_table(make_version(4));
    system.publisher_.set_rollouts(make_rollouts(8));
    node.on_connected(instant{});
    system.deliver();
    system.publisher_.on_proof(4, 8);
    system.deliver();
    BOOST_TEST(node.proved_current_at().value().time_since_epoch().count() == 0);
    // A roll-out is running, so the next request follows before the usual period of 2 s.
    node.tick(instant{std::chrono::milliseconds(500)});
    system.deliver();
    system.publisher_.on_proof(4, 9);
    system.deliver();
    BOOST_TEST(node.proved_current_at().value().time_since_epoch().count() == 0);
    system.publisher_.set_rollouts(make_rollouts(9));
    system.deliver();
    BOOST_CHECK(*node.proved_current_at() == instant{std::chrono::milliseconds(500)});
}

BOOST_AUTO_TEST_CASE(proofs_are_requested_with_the_usual_period_when_no_rollout_is_running)
{
    distribution system;
    auto& node = system.subscribers_.front();
    system.publisher_.set_rollouts(make_rollouts(8, rollout_state::completed));
    node.on_connected(instant{});
    system.deliver();
    system.publisher_.on_proof(0, 8);
    system.deliver();
    node.tick(instant{std::chrono::milliseconds(1'999)});
    BOOST_TEST(node.take_output().messages_.empty());
}

// Every node sends its own report; without merging, the leader would get one message per node.
BOOST_AUTO_TEST_CASE(a_publisher_merges_the_version_reports_of_one_round)
{
    distribution system(2);
    for (auto& node : system.subscribers_) {
        node.on_connected(instant{});
    }
    system.deliver();
    const version_report report{{{"ledger", "2.1", "ledger", 10, 2, 1}}, {{"ledger", "2.1", 4, 1}}};
    system.subscribers_[0].report_versions(report);
    system.subscribers_[1].report_versions(report);
    BOOST_TEST(system.deliver().second.version_reports_.empty());
    system.subscribers_[0].report_versions(report);
    auto merged = system.deliver().second.version_reports_;
    const version_report both{{{"ledger", "2.1", "ledger", 20, 4, 2}}, {{"ledger", "2.1", 8, 2}}};
    BOOST_CHECK(merged == both);
    // The rest of a round is not withheld when no further report arrives.
    system.publisher_.tick(instant{std::chrono::milliseconds(500)}, true);
    merged = system.deliver().second.version_reports_;
    BOOST_REQUIRE(merged.samples_.size() == 1U);
    BOOST_TEST(merged.samples_.front().responses_ == 10U);
    BOOST_TEST(merged.loads_.front().in_flight_ == 8U);
    system.publisher_.tick(instant{std::chrono::seconds(1)}, true);
    BOOST_TEST(system.deliver().second.version_reports_.empty());
}

// A request of a node that has disconnected must not count as in flight for ever.
BOOST_AUTO_TEST_CASE(the_loads_of_a_node_that_is_gone_or_silent_are_left_out)
{
    publisher publisher;
    for (const subscriber_id id : {1, 2, 3}) {
        publisher.on_message(id, subscribe{"n", "zone-a", false, {}});
        publisher.on_message(id, version_report{{}, {{"ledger", "2.0", 5, 1}}});
    }
    publisher.on_subscriber_disconnected(2);
    publisher.tick(instant{std::chrono::milliseconds(500)}, true);
    BOOST_TEST(publisher.take_output().version_reports_.loads_.front().in_flight_ == 10U);
    publisher.tick(instant{std::chrono::milliseconds(1'000)}, true);
    publisher.on_message(1, version_report{{}, {{"ledger", "2.0", 3, 1}}});
    publisher.tick(instant{std::chrono::milliseconds(1'500)}, true);
    BOOST_TEST(publisher.take_output().version_reports_.loads_.front().in_flight_ == 3U);
}
