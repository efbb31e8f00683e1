#include <boost/test/unit_test.hpp>

#include "base/split.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(text_is_split_at_commas)
{
    BOOST_TEST(split_commas("").empty());
    BOOST_TEST(split_commas("a") == std::vector<std::string>{"a"});
    BOOST_TEST(split_commas("a,,b") == (std::vector<std::string>{"a", "", "b"}));
}
