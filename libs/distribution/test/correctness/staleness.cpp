#include <boost/test/unit_test.hpp>

#include "distribution/subscriber.h"

using namespace sycamorewinch;

namespace {

constexpr duration step = std::chrono::milliseconds(250);

auto make_subscriber() -> subscriber
{
    return subscriber{{"node-1", "zone-a", false, seeded_random(1)}};
}

/** Lets \p span pass; answers each question with \p version unless it is empty. Returns whether
 * the subscriber asked for another upstream. */
auto pass(subscriber& one, instant& now, duration span, std::optional<std::uint64_t> version)
    -> bool
{
    bool left = false;
    for (const auto end = now + span; now < end;) {
        now += step;
        one.tick(now);
        const auto output = one.take_output();
        left = left || output.change_upstream_;
        for (const auto& message : output.messages_) {
            const auto* request = std::get_if<currency_request>(&message);
            if (request != nullptr && version) {
                BOOST_TEST(one.on_message(currency_proof{request->nonce_, *version}).has_value());
            }
        }
    }
    return left;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_upstream_that_proves_itself_is_kept)
{
    auto one = make_subscriber();
    instant now{};
    one.on_connected(now);
    BOOST_TEST(!pass(one, now, std::chrono::minutes(5), 0));
    BOOST_TEST((now - one.proved_current_at().value() <= std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(a_silent_upstream_is_left)
{
    auto one = make_subscriber();
    instant now{};
    one.on_connected(now);
    BOOST_TEST(pass(one, now, std::chrono::seconds(9), std::nullopt));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_stays_behind_what_was_proved_is_left)
{
    auto one = make_subscriber();
    instant now{};
    one.on_connected(now);
    BOOST_TEST(pass(one, now, std::chrono::seconds(9), 10));
    BOOST_TEST(!one.enforced());
}

BOOST_AUTO_TEST_CASE(a_process_that_was_stopped_does_not_blame_its_upstream)
{
    auto one = make_subscriber();
    instant now{};
    one.on_connected(now);
    BOOST_TEST(!pass(one, now, std::chrono::seconds(5), 0));
    now += std::chrono::minutes(10);
    BOOST_TEST(!pass(one, now, std::chrono::seconds(5), 0));
}
