// A randomised test over real sockets, with a target that closes or resets connections, truncates
// responses, responds late and forges refusals.
//
// SYCAMOREWINCH_SEEDS sets the number of seeds and SYCAMOREWINCH_FROM_SEED the first one; a failure
// names its seed.
#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include <QTimer>
#include <fmt/core.h>

#include "../node_fixture.h"
#include "base/random.h"

using namespace sycamorewinch;

namespace {

constexpr unsigned calls_per_seed = 60;
constexpr std::uint64_t default_seeds = 4;

/** What the target does with a complete request. */
enum class behaviour : std::uint8_t {
    respond,
    respond_late,
    respond_and_close, ///< Sends a complete response, then closes.
    close,
    reset,
    truncate,
    truncate_chunked,
    forge_refusal, ///< Sends the system's refusal header although it ran the request.
    count,
};

auto environment_number(const char* name, std::uint64_t fallback) -> std::uint64_t
{
    const auto* text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

/** A target that counts how often it ran each call, by the call's path. */
class faulty_target {
  public:
    explicit faulty_target(random_hook random) : random_(std::move(random)) {}

    [[nodiscard]] auto port() const -> std::uint16_t { return server_.port(); }
    [[nodiscard]] auto runs() const -> const std::map<std::string, unsigned>& { return runs_; }

  private:
    void on_bytes(loopback_socket& peer)
    {
        if (!peer.received().ends_with("body")) {
            return;
        }
        const auto start = peer.received().find("/call");
        const auto name = peer.received().substr(start, peer.received().find(' ', start) - start);
        peer.clear();
        ++runs_[name];
        respond_or_fail(peer, name);
    }

    void respond_or_fail(loopback_socket& peer, const std::string& name)
    {
        const auto body = "answer to " + name;
        constexpr auto behaviour_count = static_cast<std::uint64_t>(behaviour::count);
        switch (static_cast<behaviour>(uniform_below(random_, behaviour_count))) {
        case behaviour::respond_late:
            respond_after_delay(peer, body);
            return;
        case behaviour::respond_and_close:
            peer.write(make_response(body));
            peer.close();
            return;
        case behaviour::close:
            peer.close();
            return;
        case behaviour::reset:
            peer.abort();
            return;
        case behaviour::truncate:
            peer.write(fmt::format("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{}", body));
            peer.close();
            return;
        case behaviour::truncate_chunked:
            peer.write(fmt::format("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                                   "{:x}\r\n{}\r\n",
                                   body.size(), body));
            peer.close();
            return;
        case behaviour::forge_refusal:
            peer.write("HTTP/1.1 503 Busy\r\nsycamorewinch-refusal: target_full\r\n"
                       "sycamorewinch-outcome: not-run\r\ncontent-length: 0\r\n\r\n");
            return;
        default:
            peer.write(make_response(body));
        }
    }

    void respond_after_delay(loopback_socket& peer, const std::string& body)
    {
        QTimer::singleShot(static_cast<int>(uniform_below(random_, 20)), &context_,
                           [&peer, body] { peer.write(make_response(body)); });
    }

    random_hook random_;
    std::map<std::string, unsigned> runs_;
    QObject context_;
    scripted_server server_{[this](loopback_socket& peer) {
        on_bytes(peer);
    }};
};

/** Returns whether a caller would take \p got for a complete response with status 200. */
auto is_complete_success(const std::string& got)
{
    const bool is_chunked = got.find("transfer-encoding: chunked") != std::string::npos;
    return got.starts_with("HTTP/1.1 200") &&
           (is_chunked ? got.ends_with("0\r\n\r\n") : is_complete_response(got));
}

/** The number of violations of each invariant. */
struct violations {
    unsigned run_twice_ = 0;  ///< Calls that ran more than once.
    unsigned wrong_body_ = 0; ///< Complete responses with another call's body or a part of one.
    unsigned answered_but_not_run_ = 0;       ///< Complete responses to calls that never ran.
    unsigned run_but_refused_as_not_run_ = 0; ///< Calls refused as not run that ran.

    [[nodiscard]] auto none() const -> bool
    {
        return run_twice_ + wrong_body_ + answered_but_not_run_ + run_but_refused_as_not_run_ == 0;
    }
};

void check_call(const std::string& name, const std::string& got, unsigned runs, violations& found)
{
    const auto body = "answer to " + name;
    const bool is_complete = is_complete_success(got);
    const bool is_chunked = got.find("transfer-encoding: chunked") != std::string::npos;
    const bool is_own_body = is_chunked ? got.find(body + "\r\n") != std::string::npos
                                        : got.ends_with("\r\n\r\n" + body);
    const bool is_refused = got.find("sycamorewinch-outcome: not-run") != std::string::npos;
    found.run_twice_ += runs > 1 ? 1 : 0;
    found.wrong_body_ += is_complete && !is_own_body ? 1 : 0;
    found.answered_but_not_run_ += is_complete && runs == 0 ? 1 : 0;
    found.run_but_refused_as_not_run_ += is_refused && runs > 0 ? 1 : 0;
}

auto run_seed(std::uint64_t seed, call_path path, const row& row = unrepeatable_row()) -> violations
{
    const auto random = seeded_random(seed);
    const faulty_target target(random);
    node_fixture nodes(path, target.port(), row);
    std::vector<std::unique_ptr<loopback_socket>> callers;
    for (unsigned number = 0; number < calls_per_seed; ++number) {
        callers.push_back(nodes.connect());
        callers.back()->write(
            fmt::format("POST /call{} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"
                        "content-length: 4\r\n\r\nbody",
                        number));
        if (uniform_below(random, 4) == 0) {
            run_events(std::chrono::milliseconds(2)); // lets connections be reused
        }
    }
    for (const auto& caller : callers) {
        BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
    }
    violations seen;
    for (unsigned number = 0; number < calls_per_seed; ++number) {
        const auto name = fmt::format("/call{}", number);
        const auto found = target.runs().find(name);
        check_call(name, callers[number]->received(),
                   found == target.runs().end() ? 0 : found->second, seen);
    }
    return seen;
}

} // namespace

BOOST_AUTO_TEST_CASE(no_response_is_swapped_or_truncated_and_no_call_runs_twice)
{
    const auto first = environment_number("SYCAMOREWINCH_FROM_SEED", 1);
    const auto seeds = environment_number("SYCAMOREWINCH_SEEDS", default_seeds);
    for (auto seed = first; seed < first + seeds; ++seed) {
        BOOST_TEST_CONTEXT("SYCAMOREWINCH_FROM_SEED=" << seed << " SYCAMOREWINCH_SEEDS=1")
        {
            BOOST_TEST(run_seed(seed, call_path::local).none());
            BOOST_TEST(run_seed(seed, call_path::through_peer).none());
        }
    }
}

BOOST_AUTO_TEST_CASE(the_test_detects_a_node_that_repeats_unrepeatable_calls)
{
    auto repeated = unrepeatable_row();
    repeated.repeatable_ = true;
    BOOST_TEST(run_seed(1, call_path::local, repeated).run_twice_ > 0U);
}

BOOST_AUTO_TEST_CASE(the_check_detects_each_violation)
{
    violations seen;
    check_call("/call1", make_response("answer to /call2"), 1, seen);
    BOOST_TEST(seen.wrong_body_ == 1U);
    check_call("/call1", make_response("answer to"), 1, seen);
    BOOST_TEST(seen.wrong_body_ == 2U);
    check_call("/call1", make_response("answer to /call1"), 0, seen);
    BOOST_TEST(seen.answered_but_not_run_ == 1U);
    check_call("/call1", "HTTP/1.1 503 Busy\r\nsycamorewinch-outcome: not-run\r\n\r\n", 1, seen);
    BOOST_TEST(seen.run_but_refused_as_not_run_ == 1U);
}
