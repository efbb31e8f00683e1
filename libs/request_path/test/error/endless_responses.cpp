// Targets that send bytes without end, as a response or instead of one, until the node closes.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <utility>

#include <QTimer>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

const auto both_paths = boost::unit_test::data::make({0, 1});

constexpr std::size_t block_bytes = 64U * 1024;
/** A target that has sent this much was not stopped. Far above what the buffers of the node and of
 * the operating system hold. */
constexpr std::uint64_t max_sent_bytes = 64ULL * 1024 * 1024;
constexpr std::chrono::milliseconds write_interval{1};

constexpr std::string_view get_request = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
constexpr std::string_view last_get_request =
    "GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
constexpr std::string_view keyed_request =
    "GET /x HTTP/1.1\r\nhost: a\r\nidempotency-key: k\r\n\r\n";

/** A response that does not end: its first bytes, and the bytes that are repeated after them. */
struct endless_response {
    const char* name_;
    std::string beginning_;
    std::string repeated_;
};

auto operator<<(std::ostream& out, const endless_response& response) -> std::ostream&
{
    return out << response.name_;
}

/** A target that sends an endless response on its first connection, and complete responses on all
 * others. */
class endless_target {
  public:
    explicit endless_target(endless_response response) : response_(std::move(response))
    {
        while (block_.size() < block_bytes) {
            block_ += response_.repeated_;
        }
        QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { write_more(); });
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return server_.port(); }
    /** Returns whether the node has closed the first connection. */
    [[nodiscard]] auto is_closed() const -> bool
    {
        return !server_.connections().empty() && server_.connections().front()->is_closed();
    }
    [[nodiscard]] auto is_sending() const -> bool { return written_ > 0; }
    [[nodiscard]] auto sent_bytes() const -> std::uint64_t { return written_; }
    [[nodiscard]] auto has_sent_everything() const -> bool { return written_ >= max_sent_bytes; }
    [[nodiscard]] auto connection_count() const -> std::size_t
    {
        return server_.connections().size();
    }

  private:
    void respond(loopback_socket& peer)
    {
        if (!peer.received().ends_with("\r\n\r\n")) {
            return;
        }
        peer.clear();
        if (&peer != server_.connections().front().get()) {
            peer.write(make_response("next"));
            return;
        }
        peer.write(response_.beginning_);
        timer_.start(write_interval);
    }

    void write_more()
    {
        auto& peer = *server_.connections().front();
        if (peer.is_closed() || has_sent_everything()) {
            timer_.stop();
        }
        else if (peer.queued_bytes() < block_bytes) {
            peer.write(block_);
            written_ += block_.size();
        }
    }

    endless_response response_;
    std::string block_;
    std::uint64_t written_ = 0;
    QTimer timer_;
    scripted_server server_{[this](loopback_socket& peer) {
        respond(peer);
    }};
};

/** Returns the native mapping extended by a status that states that the request has not run, and by
 * a field of responses that belong to another request. */
auto mapping_with_response_kinds() -> header_mapping
{
    constexpr unsigned not_run_status = 429;
    auto mapping = native_header_mapping();
    mapping.classify_response_ = [](const exchange_request&, const message_head& response) {
        if (response.status_ == not_run_status) {
            return response_kind::not_run;
        }
        return find_header(response.headers_, "of-another-request").empty()
                   ? response_kind::genuine
                   : response_kind::mismatched;
    };
    return mapping;
}

/** A target with one slot, and a caller that has sent its request. */
struct endless_call {
    endless_target target_;
    node_fixture nodes_;
    std::unique_ptr<loopback_socket> caller_ = nodes_.connect();

    endless_call(int path, const endless_response& response,
                 std::string_view request = last_get_request, const row& row = unrepeatable_row())
        : target_(response), nodes_(static_cast<call_path>(path), target_.port(), row, 1,
                                    mapping_with_response_kinds())
    {
        caller_->write(request);
    }

    // These wait until it is true.
    [[nodiscard]] auto is_caller_closed() const -> bool
    {
        return wait_until([this] { return caller_->is_closed(); });
    }
    [[nodiscard]] auto is_target_closed() const -> bool
    {
        return wait_until([this] { return target_.is_closed(); });
    }
    [[nodiscard]] auto is_target_sending() const -> bool
    {
        return wait_until([this] { return target_.is_sending(); });
    }

    /** Runs until the target has not been able to send more for a while, or has sent all. */
    void run_until_target_is_blocked()
    {
        constexpr std::chrono::milliseconds blocked_time{500};
        std::uint64_t sent = 0;
        while (!target_.has_sent_everything() &&
               std::exchange(sent, target_.sent_bytes()) < target_.sent_bytes()) {
            run_events(blocked_time);
        }
    }

    /** Checks that the node has closed the target's connection and given up the slot: another
     * request is served on a new connection. */
    void check_recovery()
    {
        BOOST_TEST(is_target_closed());
        BOOST_TEST(!target_.has_sent_everything());
        const auto next = nodes_.connect();
        next->write(get_request);
        BOOST_TEST(wait_until([&] { return is_complete_response(next->received()); }));
        BOOST_TEST(next->received().ends_with("next"));
        BOOST_TEST(target_.connection_count() == 2U);
    }
};

const std::string chunked_head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

const std::array<endless_response, 4> endless_heads{{
    {"garbage", "220 ready", "x"},
    {"status line", "HTTP/1.1 200 OK", "x"},
    {"header line", "HTTP/1.1 200 OK\r\na: ", "x"},
    {"header fields", "HTTP/1.1 200 OK\r\n", "a: b\r\n"},
}};

const std::array<endless_response, 4> endless_framing{{
    {"chunk size", chunked_head + "4\r\npart\r\n", "0"},
    {"chunk extension", chunked_head + "4\r\npart\r\n4;a=", "x"},
    {"trailer line", chunked_head + "4\r\npart\r\n0\r\na: ", "x"},
    {"trailers", chunked_head + "4\r\npart\r\n0\r\n", "a: b\r\n"},
}};

const std::array<endless_response, 2> endless_interim_responses{{
    {"100", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"103 with fields", "", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"},
}};

const std::array<endless_response, 3> endless_bodies{{
    {"until close", "HTTP/1.1 200 OK\r\n\r\n", "x"},
    {"chunked", chunked_head, "4\r\npart\r\n"},
    {"long", "HTTP/1.1 200 OK\r\ncontent-length: 4000000000\r\n\r\n", "x"},
}};

const std::array<endless_response, 3> endless_not_run_responses{{
    {"until close", "HTTP/1.1 429 Too Many Requests\r\n\r\n", "x"},
    {"chunked", "HTTP/1.1 429 Too Many Requests\r\ntransfer-encoding: chunked\r\n\r\n",
     "4\r\npart\r\n"},
    {"long", "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 4000000000\r\n\r\n", "x"},
}};

} // namespace

BOOST_DATA_TEST_CASE(an_endless_head_becomes_a_502,
                     both_paths* boost::unit_test::data::make(endless_heads), path, response)
{
    endless_call call(path, response);
    BOOST_TEST(call.is_caller_closed());
    BOOST_TEST(call.caller_->received().starts_with("HTTP/1.1 502"));
    call.check_recovery();
}

BOOST_DATA_TEST_CASE(endless_interim_responses_become_a_502,
                     both_paths* boost::unit_test::data::make(endless_interim_responses), path,
                     response)
{
    endless_call call(path, response);
    BOOST_TEST(call.is_caller_closed());
    BOOST_TEST(call.caller_->received().starts_with("HTTP/1.1 502"));
    call.check_recovery();
}

BOOST_DATA_TEST_CASE(endless_chunk_framing_cuts_the_response,
                     both_paths* boost::unit_test::data::make(endless_framing), path, response)
{
    endless_call call(path, response);
    BOOST_TEST(call.is_caller_closed());
    BOOST_TEST(call.caller_->received().find("0\r\n\r\n") == std::string::npos);
    call.check_recovery();
}

BOOST_DATA_TEST_CASE(a_refusal_does_not_wait_for_the_end_of_a_not_run_response,
                     both_paths* boost::unit_test::data::make(endless_not_run_responses), path,
                     response)
{
    auto row = unrepeatable_row();
    row.retries_ = 0;
    endless_call call(path, response, last_get_request, row);
    BOOST_TEST(call.is_caller_closed());
    BOOST_TEST(call.caller_->received().starts_with("HTTP/1.1 503"));
    call.check_recovery();
}

BOOST_DATA_TEST_CASE(a_connection_is_reused_after_a_short_not_run_response, both_paths, path)
{
    const scripted_server target([](loopback_socket& peer) {
        peer.clear();
        peer.write("HTTP/1.1 429 Too Many Requests\r\ncontent-length: 4\r\n\r\nbusy");
    });
    auto row = unrepeatable_row();
    row.repeatable_ = true; // an idle connection may then be reused for longer
    row.retries_ = 0;
    node_fixture nodes(static_cast<call_path>(path), target.port(), row, 1,
                       mapping_with_response_kinds());
    for (int call = 0; call < 2; ++call) {
        const auto caller = nodes.connect();
        caller->write(get_request);
        BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
        BOOST_TEST(caller->received().starts_with("HTTP/1.1 503"));
    }
    BOOST_TEST(target.connections().size() == 1U);
}

BOOST_DATA_TEST_CASE(an_endless_response_to_another_request_becomes_a_502, both_paths, path)
{
    endless_call call(path,
                      {"mismatched", "HTTP/1.1 200 OK\r\nof-another-request: yes\r\n\r\n", "x"});
    BOOST_TEST(call.is_caller_closed());
    BOOST_TEST(call.caller_->received().starts_with("HTTP/1.1 502"));
    call.check_recovery();
}

BOOST_DATA_TEST_CASE(an_endless_body_waits_for_a_slow_caller_and_ends_with_it,
                     both_paths* boost::unit_test::data::make(endless_bodies), path, response)
{
    endless_call call(path, response);
    call.caller_->pause_reading(true);
    BOOST_TEST(call.is_target_sending());
    call.run_until_target_is_blocked();
    BOOST_TEST(!call.target_.has_sent_everything());
    BOOST_TEST(!call.target_.is_closed());
    call.caller_->abort();
    call.check_recovery();
}

BOOST_DATA_TEST_CASE(an_endless_body_is_cut_at_the_deadline,
                     both_paths* boost::unit_test::data::make(endless_bodies), path, response)
{
    auto row = unrepeatable_row();
    row.timeout_ = std::chrono::milliseconds(300);
    endless_call call(path, response, last_get_request, row);
    call.caller_->count_only();
    BOOST_TEST(call.is_caller_closed());
    BOOST_TEST(call.is_target_closed());
}

BOOST_DATA_TEST_CASE(endless_bytes_after_a_response_close_its_connection, both_paths, path)
{
    endless_call call(path, {"after a response", make_response("whole"), "x"});
    BOOST_TEST(call.is_caller_closed());
    BOOST_TEST(call.caller_->received().ends_with("whole"));
    call.check_recovery();
}

BOOST_DATA_TEST_CASE(an_endless_response_without_its_caller_is_given_up_as_lost,
                     both_paths* boost::unit_test::data::make(endless_bodies), path, response)
{
    endless_call call(path, response, keyed_request);
    BOOST_TEST(call.is_target_sending());
    call.caller_->abort();
    call.check_recovery();
    BOOST_TEST(call.nodes_.target_node().run_end_count(run_operation_kind::lose) == 1U);
    BOOST_TEST(call.nodes_.target_node().run_end_count(run_operation_kind::release) == 0U);
}
