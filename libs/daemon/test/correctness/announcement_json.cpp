#include <boost/test/unit_test.hpp>

#include "daemon/announcement_json.h"

using namespace sycamorewinch;

namespace {

auto make_announcement(const QString& version) -> QJsonObject
{
    return {{QLatin1String("service"), QLatin1String("ledger")},
            {QLatin1String("target"), QLatin1String("l1")},
            {QLatin1String("address"), QLatin1String("127.0.0.1:8080")},
            {QLatin1String("slots"), 10},
            {QLatin1String("version"), version}};
}

} // namespace

BOOST_AUTO_TEST_CASE(an_announcement_names_the_software_version)
{
    const auto announced = read_announcement(make_announcement(QLatin1String("2.1")));
    BOOST_TEST(announced->software_version_ == "2.1");
    auto without_version = make_announcement({});
    without_version.remove(QLatin1String("version"));
    BOOST_TEST(read_announcement(without_version)->software_version_.empty());
}

// A record with a longer version cannot be decoded by the other processes, which would close the
// connection.
BOOST_AUTO_TEST_CASE(an_announcement_with_an_overlong_version_is_rejected)
{
    const QString longest(static_cast<int>(max_software_version_bytes), QLatin1Char('v'));
    BOOST_TEST(read_announcement(make_announcement(longest)).has_value());
    BOOST_TEST(!read_announcement(make_announcement(longest + QLatin1Char('v'))).has_value());
}
