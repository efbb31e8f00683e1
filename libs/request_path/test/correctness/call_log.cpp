// The log line of a refused call shows what decided it.
#include <QJsonDocument>
#include <QJsonObject>
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"
#include "standin/captured_output.h"

using namespace sycamorewinch;

namespace {

constexpr std::chrono::milliseconds call_timeout{40};

/** Returns the line that a node logs for a call to a target that never answers. */
auto log_line_of_unanswered_call() -> QJsonObject
{
    const scripted_server silent_target([](loopback_socket&) {});
    auto row = unrepeatable_row();
    row.timeout_ = call_timeout;
    const node_fixture nodes(call_path::local, silent_target.port(), row);
    const auto line = capture_standard_output([&] {
        const auto caller = nodes.connect();
        caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
        BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    });
    return QJsonDocument::fromJson(line).object();
}

} // namespace

BOOST_AUTO_TEST_CASE(the_line_of_a_timed_out_call_has_its_time_allowed_and_its_attempts)
{
    const auto line = log_line_of_unanswered_call();
    BOOST_TEST(line.value("reason").toString().toStdString() == "deadline_passed");
    BOOST_TEST(line.value("allowed_ms").toInteger() == call_timeout.count());
    BOOST_TEST(line.value("attempts").toInteger() == 1);
}
