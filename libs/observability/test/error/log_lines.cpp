#include <iostream>
#include <string>

#include <unistd.h>

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTemporaryFile>
#include <boost/test/unit_test.hpp>

#include "observability/log.h"
#include "observability/metrics.h"

using namespace sycamorewinch;

namespace {

/** Returns what \p write puts on standard output. */
template <typename Write>
auto standard_output_of(Write write) -> QByteArray
{
    QTemporaryFile file;
    BOOST_REQUIRE(file.open());
    std::cout.flush();
    const int kept = ::dup(STDOUT_FILENO);
    BOOST_REQUIRE(::dup2(file.handle(), STDOUT_FILENO) >= 0);
    write();
    std::cout.flush();
    BOOST_REQUIRE(::dup2(kept, STDOUT_FILENO) >= 0);
    ::close(kept);
    QFile again(file.fileName());
    BOOST_REQUIRE(again.open(QIODevice::ReadOnly));
    return again.readAll();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_line_is_one_json_object_whatever_its_values_hold)
{
    const std::string nasty = "a\"b\\c\nd\te\x01 {}%s \xc3\xa4";
    const auto line = standard_output_of([&] {
        log_event(log_level::warning, "odd", {{"text", nasty}, {"number", -3}, {"yes", true}});
    });
    BOOST_TEST(line.count('\n') == 1);
    const auto object = QJsonDocument::fromJson(line).object();
    BOOST_TEST(object.value("text").toString().toStdString() == nasty);
    BOOST_TEST(object.value("number").toInteger() == -3);
    BOOST_TEST(object.value("yes").toBool());
    BOOST_TEST(object.value("level").toString().toStdString() == "warning");
    BOOST_TEST(object.value("event").toString().toStdString() == "odd");
}

BOOST_AUTO_TEST_CASE(lines_below_the_level_are_dropped)
{
    set_log_level(log_level::error);
    const auto line = standard_output_of([] { log_event(log_level::warning, "quiet"); });
    set_log_level(log_level::info);
    BOOST_TEST(line.isEmpty());
}

BOOST_AUTO_TEST_CASE(a_label_cannot_break_its_line)
{
    metrics_registry metrics;
    metrics.count("c", "Help.", {{"l", "a\"b\\c\nd"}}).add();
    const auto text = metrics.prometheus_text();
    BOOST_TEST(text == "# HELP c Help.\n# TYPE c counter\nc{l=\"a\\\"b\\\\c d\"} 1\n");
}
