// What a target says about itself in its responses is read without trusting its format.
#include <boost/test/unit_test.hpp>

#include "request_path/target_notice.h"

using namespace sycamorewinch;

namespace {

auto read(const header_list& fields) -> target_notice
{
    return read_target_notice(fields, "limit", "leaving");
}

} // namespace

BOOST_AUTO_TEST_CASE(a_rate_is_a_decimal_number_of_zero_or_more)
{
    BOOST_TEST(parse_max_rate("15.3").value_or(-1) == 15.3);
    BOOST_TEST(parse_max_rate("15").value_or(-1) == 15);
    BOOST_TEST(parse_max_rate("0").value_or(-1) == 0);
    BOOST_TEST(parse_max_rate("0.0").value_or(-1) == 0);
    BOOST_TEST(parse_max_rate("99999999999.5").value_or(-1) == max_stated_rate);
    for (const auto* text :
         {"", "-1", "-0.0", "nan", "inf", "1e999", "15,3", "15.3 ", " 15.3", "15.3/s", "0x10"}) {
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(!parse_max_rate(text).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_malformed_rate_is_not_read_as_no_limit)
{
    BOOST_TEST((read({}) == target_notice()));
    BOOST_TEST((read({{"limit", "15,3"}}) == target_notice{.has_malformed_rate_ = true}));
    BOOST_TEST((read({{"limit", "9"}, {"limit", "x"}}) ==
                target_notice{.max_rate_ = 9, .has_malformed_rate_ = true}));
}

BOOST_AUTO_TEST_CASE(the_lowest_of_several_rates_applies)
{
    BOOST_TEST((read({{"limit", "9.5"}, {"limit", "7"}}) == target_notice{.max_rate_ = 7}));
}

BOOST_AUTO_TEST_CASE(only_the_value_one_says_that_the_target_is_leaving)
{
    BOOST_TEST(read({{"leaving", "1"}}).is_leaving_);
    BOOST_TEST(!read({{"leaving", "0"}}).is_leaving_);
    BOOST_TEST(!read({{"leaving", ""}}).is_leaving_);
}
