#include <boost/test/unit_test.hpp>

#include "base/random.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(same_seed_yields_same_sequence)
{
    const auto first = seeded_random(7);
    const auto second = seeded_random(7);
    for (int draw = 0; draw < 100; ++draw) {
        BOOST_TEST(first() == second());
    }
}

BOOST_AUTO_TEST_CASE(uniform_draws_stay_in_range)
{
    const auto random = seeded_random(3);
    for (int draw = 0; draw < 1000; ++draw) {
        BOOST_TEST(uniform_below(random, 10) < 10);
        const auto unit = uniform_unit(random);
        BOOST_TEST((unit >= 0.0 && unit < 1.0));
        const auto drawn_duration = uniform_between(random, duration(5), duration(9));
        BOOST_TEST((drawn_duration >= duration(5) && drawn_duration <= duration(9)));
    }
}
