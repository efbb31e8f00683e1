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

/** One publisher and one subscriber; messages are carried by hand. */
struct pair_of_both {
    publisher publisher_;
    subscriber subscriber_{{"node-1", "zone-a", false, seeded_random(1)}};
    std::size_t bytes_down_ = 0;

    auto up() -> subscriber_output
    {
        auto output = subscriber_.take_output();
        for (const auto& message : output.messages_) {
            publisher_.on_message(1, decode_distribution_message(encode_message(message)).value());
        }
        return output;
    }

    auto down() -> publisher_output
    {
        auto output = publisher_.take_output();
        for (const auto& message : output.messages_) {
            bytes_down_ += message.bytes_->size();
            BOOST_TEST(subscriber_.on_message(decode_distribution_message(*message.bytes_).value())
                           .has_value());
        }
        return output;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(nothing_is_enforced_before_a_proof)
{
    pair_of_both both;
    both.publisher_.set_table(make_version(8));
    both.subscriber_.on_connected(instant{});
    both.up();
    BOOST_TEST(both.down().proof_wanted_);
    BOOST_TEST(both.subscriber_.held()->version_.number_ == 8);
    BOOST_TEST(!both.subscriber_.enforced());
    // The quorum knows version 10: the stale 8 must not be enforced.
    both.publisher_.on_proof(10);
    both.down();
    BOOST_TEST(!both.subscriber_.enforced());
    both.publisher_.set_table(make_version(10));
    both.subscriber_.report_progress({});
    both.up();
    both.down();
    BOOST_REQUIRE(both.subscriber_.enforced());
    BOOST_TEST(both.subscriber_.enforced()->version_.number_ == 10);
}

BOOST_AUTO_TEST_CASE(a_subscriber_far_behind_gets_one_step)
{
    pair_of_both both;
    both.publisher_.set_table(make_version(1));
    both.subscriber_.on_connected(instant{});
    both.up();
    both.down();
    for (std::uint64_t number = 2; number <= 300; ++number) {
        both.publisher_.set_table(make_version(number));
    }
    BOOST_TEST(both.publisher_.take_output().messages_.empty()); // one update is still on its way
    both.bytes_down_ = 0;
    both.subscriber_.report_progress({});
    both.up();
    both.down();
    BOOST_TEST(both.subscriber_.held()->version_.number_ == 300);
    BOOST_TEST(both.bytes_down_ < 300);
}

BOOST_AUTO_TEST_CASE(progress_folds_to_the_lowest_version)
{
    std::vector<zone_progress> sum{{"a", 2, 9, 2, {"n1", "n2"}}};
    merge_progress(sum, {{"a", 1, 8, 1, {"n3"}}, {"b", 1, 9, 1, {}}});
    BOOST_REQUIRE(sum.size() == 2);
    BOOST_TEST(sum.front().nodes_ == 3);
    BOOST_TEST(sum.front().lowest_version_ == 8);
    BOOST_TEST(sum.front().at_lowest_names_ == std::vector<std::string>{"n3"});
}

BOOST_AUTO_TEST_CASE(a_hub_in_touch_answers_a_refresh_itself_and_a_first_question_never)
{
    publisher publisher;
    publisher.on_message(1, subscribe{"n", "zone-a", false, {}});
    static_cast<void>(publisher.take_output());
    publisher.set_quorum_contact(true);
    publisher.on_message(1, currency_request{7, false});
    auto output = publisher.take_output();
    BOOST_TEST(output.proof_wanted_);
    BOOST_TEST(output.messages_.empty());
    publisher.on_message(1, currency_request{8, true});
    output = publisher.take_output();
    BOOST_REQUIRE(output.messages_.size() == 1U);
    const auto answer = decode_distribution_message(*output.messages_.front().bytes_);
    BOOST_TEST(std::get<currency_proof>(*answer).nonce_ == 8U);
    publisher.set_quorum_contact(false);
    publisher.on_message(1, currency_request{9, true});
    BOOST_TEST(publisher.take_output().messages_.empty());
}
