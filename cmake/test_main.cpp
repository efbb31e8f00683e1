// The entry point of each library's test program.
#define BOOST_TEST_MODULE sycamorewinch
#include <boost/test/unit_test.hpp>
