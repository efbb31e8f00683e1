/** \file
 * A node, or two of them, over loopback for the tests of the request path.
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
    local,        ///< The node that was called stands beside the target.
    through_peer, ///< It goes through the node beside the target.
};

/** A running node. */
struct test_node {
    metrics_registry metrics_;
    node_state state_;
    std::mutex mutex_;
    std::vector<crash_record> crashes_; ///< News of this node; under mutex_.
    std::unique_ptr<node_worker> worker_;

    /** Returns how many pieces of news of \p event this node had. */
    auto news_of(crash_event event) -> std::size_t;

    explicit test_node(const std::string& own_address) : state_(own_address, metrics_) {}
};

/** The table's row in these tests; not repeatable, and with retries to be tempted by. */
[[nodiscard]] auto test_row() -> row;

/** One service `dialer` with one target `d1`, reached by one node or through a second one. */
class node_fixture {
  public:
    node_fixture(call_path path, std::uint16_t target_port, const row& row = test_row(),
                 std::uint32_t slots = 1'000);

    /** Where callers call. */
    [[nodiscard]] auto caller_port() const -> std::uint16_t;
    /** The node that callers call. */
    [[nodiscard]] auto front() -> test_node& { return *front_; }
    /** The node beside the target. */
    [[nodiscard]] auto back() -> test_node& { return back_ ? *back_ : *front_; }
    /** Opens a caller's connection. */
    [[nodiscard]] auto call() const -> std::unique_ptr<raw_socket>;

  private:
    std::unique_ptr<test_node> back_;
    std::unique_ptr<test_node> front_;
};

/** Returns whether \p bytes hold a head and as much body as its content-length states. */
[[nodiscard]] auto holds_whole_answer(const std::string& bytes) -> bool;

/** Returns an answer 200 with \p body. */
[[nodiscard]] auto answer_with(std::string_view body) -> std::string;

} // namespace sycamorewinch
