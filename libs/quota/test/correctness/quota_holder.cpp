#include <boost/test/unit_test.hpp>

#include "quota/quota_holder.h"

using namespace sycamorewinch;

namespace {

constexpr instant start{std::chrono::hours(1)};
constexpr quota_limit limit{100'000, 50};

auto after(std::int64_t milliseconds) -> instant
{
    return start + std::chrono::milliseconds(milliseconds);
}

auto ask(std::uint64_t needed, std::uint64_t ahead = 0, std::uint64_t returned = 0) -> quota_ask
{
    return {"acme", needed, ahead, returned, limit, false};
}

auto all_tokens(quota_holder& holder, holder_role role, instant now) -> std::uint64_t
{
    return holder.grant(ask(100'000), limit, role, now).tokens_;
}

} // namespace

BOOST_AUTO_TEST_CASE(lease_lasts_one_second)
{
    quota_holder holder;
    BOOST_TEST((holder.grant(ask(1), limit, holder_role::holder, start).lifetime_ ==
                std::chrono::milliseconds(1'000)));
}

// A node that holds tokens for later would make another one refuse a request below the quota.
BOOST_AUTO_TEST_CASE(tokens_ahead_of_need_are_not_granted_from_a_low_bucket)
{
    quota_holder holder;
    (void)all_tokens(holder, holder_role::holder, start);
    BOOST_TEST(holder.grant(ask(1, 20), limit, holder_role::holder, after(100)).tokens_ == 1U);
    BOOST_TEST(holder.grant(ask(1, 20), limit, holder_role::holder, after(5'000)).tokens_ == 21U);
}

// If all refused callers were told the same time, all but one would be refused again.
BOOST_AUTO_TEST_CASE(refusals_name_successive_times)
{
    quota_holder holder;
    const auto first = holder.grant(ask(1), limit, holder_role::holder, start);
    const auto second = holder.grant(ask(1), limit, holder_role::holder, start);
    BOOST_TEST(first.tokens_ == 0U);
    BOOST_TEST(first.retry_after_.count() == 10);
    BOOST_TEST(second.retry_after_.count() == 20);
    quota_grant last;
    for (int count = 0; count < 1'000; ++count) {
        last = holder.grant(ask(1), limit, holder_role::holder, start);
    }
    BOOST_TEST(last.retry_after_.count() == 250);
}

BOOST_AUTO_TEST_CASE(substitute_that_becomes_the_holder_goes_on_with_its_bucket)
{
    quota_holder holder;
    (void)all_tokens(holder, holder_role::substitute, start);
    BOOST_TEST(all_tokens(holder, holder_role::holder, after(100)) == 10U);
}

// Its tokens would be granted in addition to those of the holder.
BOOST_AUTO_TEST_CASE(substitute_begins_empty_after_the_holder_answered)
{
    quota_holder holder;
    (void)all_tokens(holder, holder_role::substitute, start);
    holder.end_substitution("acme");
    BOOST_TEST(holder.size() == 0U);
    BOOST_TEST(all_tokens(holder, holder_role::substitute, after(1'000)) == 0U);
}

// The holder may have answered other nodes in the meantime.
BOOST_AUTO_TEST_CASE(substitute_that_was_idle_begins_empty)
{
    quota_holder holder;
    (void)all_tokens(holder, holder_role::substitute, start);
    BOOST_TEST(all_tokens(holder, holder_role::substitute, after(5'001)) == 0U);
}

BOOST_AUTO_TEST_CASE(former_holder_begins_empty)
{
    quota_holder holder;
    (void)all_tokens(holder, holder_role::holder, start);
    holder.on_nodes_changed([](const std::string&) { return true; });
    BOOST_TEST(all_tokens(holder, holder_role::holder, after(100)) == 10U);
    holder.on_nodes_changed([](const std::string&) { return false; });
    BOOST_TEST(all_tokens(holder, holder_role::holder, after(1'000)) == 0U);
    BOOST_TEST(all_tokens(holder, holder_role::substitute, after(2'000)) == 0U);
}

BOOST_AUTO_TEST_CASE(without_a_rate_all_tokens_are_granted)
{
    quota_holder holder;
    BOOST_TEST(holder.grant(ask(5, 2), {0, 0}, holder_role::holder, start).tokens_ == 7U);
    BOOST_TEST(holder.size() == 0U);
}
