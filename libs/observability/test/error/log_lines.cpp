#include <array>
#include <iostream>
#include <string>

#include <unistd.h>

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <boost/test/unit_test.hpp>

#include "observability/log.h"
#include "observability/metrics.h"
#include "standin/captured_output.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(line_with_special_characters_is_one_json_object)
{
    const std::string special_characters = "a\"b\\c\nd\te\x01 {}%s \xc3\xa4";
    const auto line = capture_standard_output([&] {
        log_event(log_level::warning, "odd",
                  {{"text", special_characters}, {"number", -3}, {"yes", true}});
    });
    BOOST_TEST(line.count('\n') == 1);
    const auto object = QJsonDocument::fromJson(line).object();
    BOOST_TEST(object.value("text").toString().toStdString() == special_characters);
    BOOST_TEST(object.value("number").toInteger() == -3);
    BOOST_TEST(object.value("yes").toBool());
    BOOST_TEST(object.value("level").toString().toStdString() == "warning");
    BOOST_TEST(object.value("event").toString().toStdString() == "odd");
}

BOOST_AUTO_TEST_CASE(lines_are_dropped_without_blocking_while_the_reader_is_stalled)
{
    std::array<int, 2> pipe_ends{};
    BOOST_REQUIRE(::pipe(pipe_ends.data()) == 0);
    std::cout.flush();
    const int saved_descriptor = ::dup(STDOUT_FILENO);
    BOOST_REQUIRE(::dup2(pipe_ends[1], STDOUT_FILENO) >= 0);
    const std::string text(1'000, 'x');
    constexpr int lines = 300; // more than the capacity of a pipe
    for (int line = 0; line < lines; ++line) {
        log_event(log_level::info, "stuck_reader", {{"text", text}});
    }
    std::string read_back(1U << 20U, '\0');
    const auto bytes_read = ::read(pipe_ends[0], read_back.data(), read_back.size());
    BOOST_REQUIRE(bytes_read > 0);
    log_event(log_level::info, "reader_is_back");
    const auto bytes_after_stall = ::read(pipe_ends[0], read_back.data(), read_back.size());
    BOOST_REQUIRE(::dup2(saved_descriptor, STDOUT_FILENO) >= 0);
    for (const int end : {saved_descriptor, pipe_ends[0], pipe_ends[1]}) {
        ::close(end);
    }
    BOOST_REQUIRE(bytes_after_stall > 0);
    read_back.resize(static_cast<std::size_t>(bytes_after_stall));
    const auto max_lines_written =
        static_cast<int>(bytes_read) / static_cast<int>(text.size()); // omits the other fields
    BOOST_TEST(max_lines_written < lines);
    const auto first = QByteArray::fromStdString(read_back.substr(0, read_back.find('\n')));
    const auto lost_lines_event = QJsonDocument::fromJson(first).object();
    BOOST_TEST(lost_lines_event.value("event").toString().toStdString() == "log_lines_lost");
    BOOST_TEST(lost_lines_event.value("lines").toInteger() >= lines - max_lines_written);
    BOOST_TEST(read_back.find("reader_is_back") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(lines_below_the_level_are_dropped)
{
    set_log_level(log_level::error);
    const auto line = capture_standard_output([] { log_event(log_level::warning, "quiet"); });
    set_log_level(log_level::info);
    BOOST_TEST(line.isEmpty());
}

BOOST_AUTO_TEST_CASE(label_values_are_escaped)
{
    metrics_registry metrics;
    metrics.count("c", "Help.", {{"l", "a\"b\\c\nd"}}).add();
    const auto text = metrics.prometheus_text();
    BOOST_TEST(text == "# HELP c Help.\n# TYPE c counter\nc{l=\"a\\\"b\\\\c d\"} 1\n");
}
