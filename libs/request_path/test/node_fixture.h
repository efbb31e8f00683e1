/** \file
 * One or two nodes on the loopback interface, for the tests of the request path.
 */
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "request_path/node_worker.h"
#include "standin/raw_socket.h"

namespace sycamorewinch {

/** How a call reaches its target. */
enum class call_path : std::uint8_t {
    local,        ///< The called node is the one beside the target.
    through_peer, ///< The called node forwards to the node beside the target.
};

/** A running node. */
struct test_node {
    metrics_registry metrics_;
    node_state state_;
    std::mutex mutex_;
    std::vector<crash_record> crashes_; ///< Published by this node; guarded by mutex_.
    std::unique_ptr<node_worker> worker_;

    /** Returns how many crash records of \p event this node has published. */
    auto crash_report_count(crash_event event) -> std::size_t;

    explicit test_node(const std::string& own_address) : state_(own_address, metrics_) {}
};

/** Returns the table's row in these tests: not repeatable, but with retries, so that a node which
 * ignores the former would retry. */
[[nodiscard]] auto test_row() -> row;

/** A service `dialer` with one target `d1`, reached through one node or two. */
class node_fixture {
  public:
    node_fixture(call_path path, std::uint16_t target_port, const row& row = test_row(),
                 std::uint32_t slots = 1'000);

    /** Returns the port that callers connect to. */
    [[nodiscard]] auto caller_port() const -> std::uint16_t;
    /** Returns the node that callers connect to. */
    [[nodiscard]] auto caller_node() -> test_node& { return *caller_node_; }
    /** Returns the node beside the target. */
    [[nodiscard]] auto target_node() -> test_node&
    {
        return target_node_ ? *target_node_ : *caller_node_;
    }
    /** Opens a connection as a caller. */
    [[nodiscard]] auto connect() const -> std::unique_ptr<raw_socket>;

  private:
    std::unique_ptr<test_node> target_node_;
    std::unique_ptr<test_node> caller_node_;
};

/** Returns whether \p bytes contain a head and at least as many body bytes as its content-length.
 */
[[nodiscard]] auto is_complete_response(const std::string& bytes) -> bool;

/** Returns an HTTP/1.1 response with status 200 and \p body. */
[[nodiscard]] auto make_response(std::string_view body) -> std::string;

} // namespace sycamorewinch
