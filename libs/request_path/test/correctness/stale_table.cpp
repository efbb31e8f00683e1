#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

constexpr auto max_proof_age = std::chrono::milliseconds(1'500);
constexpr std::uint16_t unused_target_port = 9;

/** Returns the response to a request whose path no row matches, from a node whose table was proved
 * current \p proof_age ago. */
auto response_without_row(duration proof_age) -> std::string
{
    auto row = unrepeatable_row();
    row.path_prefix_ = "/other";
    node_fixture nodes(call_path::local, unused_target_port, row);
    nodes.entry_node().state_.set_max_refusal_proof_age(max_proof_age);
    nodes.entry_node().state_.set_proved_current_at(monotonic_now() - proof_age);
    const auto caller = nodes.connect();
    caller->write("GET /no-such-row HTTP/1.1\r\nhost: x\r\n\r\n");
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    return caller->received();
}

} // namespace

// Guards against a node that is out of touch and answers by an older table that a route is missing.
BOOST_AUTO_TEST_CASE(a_missing_row_is_reported_only_with_a_recent_proof)
{
    BOOST_TEST(response_without_row(std::chrono::milliseconds(100)).starts_with("HTTP/1.1 404"));
    const auto late = response_without_row(std::chrono::seconds(2));
    BOOST_TEST(late.starts_with("HTTP/1.1 503"));
    BOOST_TEST(late.find("table_not_proved") != std::string::npos);
    BOOST_TEST(late.find("not-run") != std::string::npos);
}
