#include <boost/test/unit_test.hpp>

#include "distribution/publisher.h"
#include "distribution/subscriber.h"

using namespace sycamorewinch;

namespace {

auto make_rows(std::uint32_t retries) -> std::vector<row>
{
    row one{.service_ = "dialer", .path_prefix_ = "/dialer"};
    one.retries_ = retries;
    row other{.service_ = "ledger", .path_prefix_ = "/ledger"};
    return {one, other};
}

auto make_version(std::uint64_t number) -> table_pointer
{
    return std::make_shared<const table>(
        make_table(number, make_rows(static_cast<std::uint32_t>(number))));
}

/** One publisher and one subscriber; the test delivers the messages between them. */
struct publisher_and_subscriber {
    publisher publisher_;
    subscriber subscriber_{{"node-1", "zone-a", false, seeded_random(1)}};
    std::size_t bytes_downstream_ = 0;

    auto deliver_upstream() -> subscriber_output
    {
        auto output = subscriber_.take_output();
        for (const auto& message : output.messages_) {
            publisher_.on_message(1, decode_distribution_message(encode_message(message)).value());
        }
        return output;
    }

    auto deliver_downstream() -> publisher_output
    {
        auto output = publisher_.take_output();
        for (const auto& message : output.messages_) {
            bytes_downstream_ += message.bytes_->size();
            BOOST_TEST(subscriber_.on_message(decode_distribution_message(*message.bytes_).value())
                           .has_value());
        }
        return output;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(no_table_is_enforced_before_its_version_is_proved)
{
    publisher_and_subscriber pair;
    pair.publisher_.set_table(make_version(8));
    pair.subscriber_.on_connected(instant{});
    pair.deliver_upstream();
    BOOST_TEST(pair.deliver_downstream().proof_wanted_);
    BOOST_TEST(pair.subscriber_.held()->version_.number_ == 8);
    BOOST_TEST(!pair.subscriber_.enforced());
    // The quorum has accepted version 10, so the outdated version 8 must not be enforced.
    pair.publisher_.on_proof(10, 0);
    pair.deliver_downstream();
    BOOST_TEST(!pair.subscriber_.enforced());
    pair.publisher_.set_table(make_version(10));
    pair.subscriber_.report_progress({});
    pair.deliver_upstream();
    pair.deliver_downstream();
    BOOST_REQUIRE(pair.subscriber_.enforced());
    BOOST_TEST(pair.subscriber_.enforced()->version_.number_ == 10);
}

BOOST_AUTO_TEST_CASE(a_subscriber_many_versions_behind_gets_one_update)
{
    publisher_and_subscriber pair;
    pair.publisher_.set_table(make_version(1));
    pair.subscriber_.on_connected(instant{});
    pair.deliver_upstream();
    pair.deliver_downstream();
    for (std::uint64_t number = 2; number <= 300; ++number) {
        pair.publisher_.set_table(make_version(number));
    }
    BOOST_TEST(pair.publisher_.take_output().messages_.empty()); // one update is still in flight
    pair.bytes_downstream_ = 0;
    pair.subscriber_.report_progress({});
    pair.deliver_upstream();
    pair.deliver_downstream();
    BOOST_TEST(pair.subscriber_.held()->version_.number_ == 300);
    BOOST_TEST(pair.bytes_downstream_ < 300);
}

BOOST_AUTO_TEST_CASE(merged_progress_keeps_the_lowest_version)
{
    std::vector<zone_progress> sum{{"a", 2, 9, 2, {"n1", "n2"}}};
    merge_progress(sum, {{"a", 1, 8, 1, {"n3"}}, {"b", 1, 9, 1, {}}});
    BOOST_REQUIRE(sum.size() == 2);
    BOOST_TEST(sum.front().nodes_ == 3);
    BOOST_TEST(sum.front().lowest_version_ == 8);
    BOOST_TEST(sum.front().at_lowest_names_ == std::vector<std::string>{"n3"});
}

BOOST_AUTO_TEST_CASE(a_publisher_with_quorum_contact_answers_refresh_requests_only)
{
    publisher publisher;
    publisher.on_message(1, subscribe{"n", "zone-a", false, {}});
    static_cast<void>(publisher.take_output());
    publisher.set_currency_age(std::chrono::milliseconds(120));
    publisher.on_message(1, currency_request{7, false});
    auto output = publisher.take_output();
    BOOST_TEST(output.proof_wanted_);
    BOOST_TEST(output.messages_.empty());
    publisher.on_message(1, currency_request{8, true});
    output = publisher.take_output();
    BOOST_REQUIRE(output.messages_.size() == 1U);
    const auto answer = decode_distribution_message(*output.messages_.front().bytes_);
    BOOST_TEST(std::get<currency_proof>(*answer).nonce_ == 8U);
    BOOST_TEST(std::get<currency_proof>(*answer).age_ms_ == 120U);
    publisher.set_currency_age(std::nullopt);
    publisher.on_message(1, currency_request{9, true});
    BOOST_TEST(publisher.take_output().messages_.empty());
}

BOOST_AUTO_TEST_CASE(a_relay_that_enforces_a_table_still_requests_a_proof_by_a_quorum)
{
    for (const bool is_relay : {false, true}) {
        publisher_and_subscriber pair;
        pair.subscriber_ = subscriber({"s", "zone-a", is_relay, seeded_random(1)});
        pair.publisher_.set_table(make_version(4));
        pair.subscriber_.on_connected(instant{});
        pair.deliver_upstream();
        BOOST_TEST(pair.deliver_downstream().proof_wanted_);
        pair.publisher_.on_proof(4, 0);
        pair.deliver_downstream();
        BOOST_REQUIRE(pair.subscriber_.enforced() != nullptr);
        // This process hears from the leader, but may not have the newest version yet.
        pair.publisher_.set_currency_age(duration(0));
        pair.subscriber_.request_proof();
        pair.deliver_upstream();
        BOOST_TEST(pair.deliver_downstream().proof_wanted_ == is_relay);
    }
}

BOOST_AUTO_TEST_CASE(organisations_arrive_with_the_whole_table_and_with_changes)
{
    const auto version_with = [](std::uint64_t number, std::vector<organisation> organisations) {
        return std::make_shared<const table>(
            make_table(number, make_rows(1), {}, std::move(organisations)));
    };
    publisher_and_subscriber pair;
    pair.publisher_.set_table(version_with(1, {{.name_ = "acme", .burst_ = 1}}));
    pair.subscriber_.on_connected(instant{});
    pair.deliver_upstream();
    pair.deliver_downstream();
    BOOST_REQUIRE(pair.subscriber_.held()->find_organisation("acme") != nullptr);
    pair.publisher_.set_table(version_with(2, {{.name_ = "acme", .burst_ = 2}, {.name_ = "b"}}));
    pair.subscriber_.report_progress({});
    pair.deliver_upstream();
    pair.deliver_downstream();
    BOOST_TEST(pair.subscriber_.held()->version_.number_ == 2);
    BOOST_TEST(pair.subscriber_.held()->find_organisation("acme")->burst_ == 2U);
    BOOST_TEST(pair.subscriber_.held()->find_organisation("b") != nullptr);
}
