#include <boost/test/unit_test.hpp>

#include <utility>

#include "quota/contact_monitor.h"

using namespace sycamorewinch;

namespace {

/** A node with \p others other ones, whose answers the test gives. */
struct monitored_node {
    explicit monitored_node(std::size_t others)
    {
        nodes_.own_ = "own:1";
        for (std::size_t number = 0; number <= others; ++number) {
            nodes_.addresses_.push_back(number == 0 ? nodes_.own_
                                                    : "other:" + std::to_string(number));
        }
    }

    auto state() -> contact_state { return monitor_.state(nodes_, now_); }
    /** Passes the time of several rounds, with proofs if \p is_proved. */
    void pass_time(bool is_proved)
    {
        now_ += std::chrono::milliseconds(700);
        proved_at_ = is_proved ? now_ : proved_at_;
    }
    /** Gives \p answered of the pending questions an answer, and none to the others. */
    void answer(std::size_t answered)
    {
        for (const auto& reply : std::exchange(pending_, {})) {
            reply(answered > 0 ? std::optional(quota_grant{}) : std::nullopt, now_);
            answered -= answered > 0 ? 1 : 0;
        }
    }

    quota_nodes nodes_;
    instant now_{std::chrono::hours(1)};
    instant proved_at_{now_};
    std::vector<grant_hook> pending_;
    unsigned losses_ = 0;
    holder_reachability reachability_;
    contact_monitor monitor_{reachability_,
                             {[this](const auto&, const auto&, auto, auto answer) {
                                  pending_.push_back(std::move(answer));
                              },
                              [this] { return proved_at_; }, std::chrono::milliseconds(600),
                              [this] {
                                  ++losses_;
                              }}};
};

} // namespace

BOOST_AUTO_TEST_CASE(without_doubt_no_node_is_asked)
{
    monitored_node node(10);
    for (int count = 0; count < 3; ++count) {
        BOOST_TEST((node.state() == contact_state::confirmed));
        node.pass_time(true);
    }
    BOOST_TEST(node.pending_.empty());
}

BOOST_AUTO_TEST_CASE(an_old_proof_is_made_up_for_by_the_answers_of_most_nodes)
{
    monitored_node node(10);
    node.pass_time(false);
    BOOST_TEST((node.state() == contact_state::unknown));
    BOOST_TEST(node.pending_.size() == 10U);
    node.answer(5); // with this one more than half of eleven
    BOOST_TEST((node.state() == contact_state::confirmed));
    BOOST_TEST(node.losses_ == 0U);
}

BOOST_AUTO_TEST_CASE(contact_is_lost_without_proofs_and_without_most_nodes)
{
    monitored_node node(10);
    node.pass_time(false);
    BOOST_TEST((node.state() == contact_state::unknown));
    node.answer(4);
    BOOST_TEST((node.state() == contact_state::lost));
    BOOST_TEST((node.state() == contact_state::lost));
    BOOST_TEST(node.losses_ == 1U);
    node.pass_time(false); // the cut has ended
    BOOST_TEST((node.state() == contact_state::lost));
    node.answer(10);
    BOOST_TEST((node.state() == contact_state::confirmed));
}

// Most nodes may have ended at once. Proofs that arrive afterwards show that this one is not cut
// off.
BOOST_AUTO_TEST_CASE(a_new_proof_confirms_the_contact_although_most_nodes_do_not_answer)
{
    monitored_node node(10);
    node.reachability_.on_failure("other:1", node.now_);
    BOOST_TEST((node.state() == contact_state::unknown));
    node.answer(0);
    BOOST_TEST((node.state() == contact_state::unknown)); // the proof is older than the doubt
    node.reachability_.on_failure("other:2", node.now_);
    node.pass_time(true);
    BOOST_TEST((node.state() == contact_state::confirmed));
}

BOOST_AUTO_TEST_CASE(whoever_waits_for_a_confirmation_is_told_once_it_is_known)
{
    for (const std::size_t answered : {9U, 1U}) {
        monitored_node node(10);
        node.pass_time(false);
        std::vector<bool> told;
        for (int count = 0; count < 2; ++count) {
            node.monitor_.confirm(node.nodes_, node.now_, [&told](bool is_confirmed, instant) {
                told.push_back(is_confirmed);
            });
        }
        BOOST_TEST(told.empty());
        node.answer(answered);
        BOOST_TEST((told == std::vector<bool>(2, answered == 9)));
    }
}

BOOST_AUTO_TEST_CASE(a_node_alone_is_in_contact)
{
    monitored_node node(0);
    node.pass_time(false);
    BOOST_TEST((node.state() == contact_state::confirmed));
}

BOOST_AUTO_TEST_CASE(a_sample_of_many_nodes_is_asked)
{
    monitored_node node(500);
    node.pass_time(false);
    BOOST_TEST((node.state() == contact_state::unknown));
    BOOST_TEST(node.pending_.size() < 20U);
}
