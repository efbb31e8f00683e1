// Calls that give back what they hold while memory is short: what their callers are told is true.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

#include <fmt/core.h>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

constexpr std::uint64_t memory_limit = 2U * 1024 * 1024;
constexpr std::size_t body_bytes = 256U * 1024;
constexpr std::size_t sent_bytes = 100U * 1024;
constexpr unsigned callers_at_once = 40;
constexpr unsigned rounds = 5;
constexpr std::chrono::seconds step_timeout{20};

/** A target that notes the path of each request whose head it has received, and never answers. */
struct noting_target {
    std::set<std::string> paths_;
    scripted_server server_{[this](loopback_socket& peer) {
        const auto& text = peer.received();
        const auto end = text.find(" HTTP/1.1");
        if (text.starts_with("POST ") && end != std::string::npos) {
            paths_.insert(text.substr(5, end - 5));
            peer.clear();
            peer.count_only();
        }
    }};
};

struct numbered_caller {
    std::string path_;
    std::unique_ptr<loopback_socket> socket_;
};

/** Returns how many callers were answered with \p status. */
auto count_status(const std::vector<numbered_caller>& callers, const std::string& status)
    -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(callers, [&](const auto& caller) {
        return caller.socket_->received().starts_with("HTTP/1.1 " + status);
    }));
}

/** Plays a crowd that holds more than the nodes allow. A 503 states that the request has not run,
 * so its target must never have received it. */
void check_refusals(call_path path)
{
    noting_target target;
    node_fixture nodes(path, target.server_.port(), unrepeatable_row(), 1'000,
                       native_header_mapping(), memory_limit);
    std::vector<numbered_caller> callers;
    for (unsigned round = 0; round < rounds; ++round) {
        for (unsigned caller = 0; caller < callers_at_once; ++caller) {
            const auto request_path = fmt::format("/x{}", callers.size());
            callers.push_back({request_path, nodes.connect()});
            callers.back().socket_->write(
                fmt::format("POST {} HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{}",
                            request_path, body_bytes, std::string(sent_bytes, 'b')));
        }
        run_events(std::chrono::milliseconds(50)); // some reach the target before the next ones
    }
    BOOST_TEST(wait_until(
        [&] {
            return count_status(callers, "503") + count_status(callers, "502") > callers_at_once;
        },
        step_timeout));
    for (const auto& caller : callers) {
        if (caller.socket_->received().starts_with("HTTP/1.1 503")) {
            BOOST_TEST(!target.paths_.contains(caller.path_));
        }
    }
    BOOST_TEST(count_status(callers, "502") > 0U);
    BOOST_TEST(nodes.entry_node().account_->held(memory_use::calls) <= memory_limit);
    BOOST_TEST(nodes.target_node().account_->held(memory_use::calls) <= memory_limit);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_that_reached_its_target_is_not_reported_as_not_run)
{
    check_refusals(call_path::local);
}

BOOST_AUTO_TEST_CASE(a_call_that_reached_its_target_through_a_peer_is_not_reported_as_not_run)
{
    check_refusals(call_path::through_peer);
}
