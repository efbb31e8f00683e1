#include <boost/test/unit_test.hpp>

#include "base/enum_names.h"
#include "base/result.h"

BOOST_AUTO_TEST_CASE(enum_names_convert_between_values_and_names)
{
    enum class colour { red, green };
    constexpr sycamorewinch::enum_names<colour, 2> names{{"red", "green"}};
    BOOST_TEST(names.name(colour::green) == "green");
    BOOST_TEST((names.parse("red") == colour::red));
    BOOST_TEST(!names.parse("blue").has_value());
    BOOST_TEST(names.name(static_cast<colour>(7)) == "unknown");
}

BOOST_AUTO_TEST_CASE(error_kinds_have_names)
{
    BOOST_TEST(name_of(sycamorewinch::error_kind::io) == "io");
}
