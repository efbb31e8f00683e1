#include <array>
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

BOOST_AUTO_TEST_CASE(a_reader_that_stops_costs_lines_and_holds_nobody)
{
    std::array<int, 2> ends{};
    BOOST_REQUIRE(::pipe(ends.data()) == 0);
    std::cout.flush();
    const int kept = ::dup(STDOUT_FILENO);
    BOOST_REQUIRE(::dup2(ends[1], STDOUT_FILENO) >= 0);
    const std::string text(1'000, 'x');
    constexpr int lines = 300; // more than a pipe holds
    for (int line = 0; line < lines; ++line) {
        log_event(log_level::info, "stuck_reader", {{"text", text}});
    }
    std::string read_back(1U << 20U, '\0');
    const auto held = ::read(ends[0], read_back.data(), read_back.size());
    BOOST_REQUIRE(held > 0);
    log_event(log_level::info, "reader_is_back");
    const auto count = ::read(ends[0], read_back.data(), read_back.size());
    BOOST_REQUIRE(::dup2(kept, STDOUT_FILENO) >= 0);
    for (const int end : {kept, ends[0], ends[1]}) {
        ::close(end);
    }
    BOOST_REQUIRE(count > 0);
    read_back.resize(static_cast<std::size_t>(count));
    const auto out = static_cast<int>(held) / static_cast<int>(text.size()); // about
    BOOST_TEST(out < lines);
    const auto first = QByteArray::fromStdString(read_back.substr(0, read_back.find('\n')));
    const auto lost = QJsonDocument::fromJson(first).object();
    BOOST_TEST(lost.value("event").toString().toStdString() == "log_lines_lost");
    BOOST_TEST(lost.value("lines").toInteger() >= lines - out);
    BOOST_TEST(read_back.find("reader_is_back") != std::string::npos);
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
