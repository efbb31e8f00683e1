/** \file
 * One or two nodes on the loopback interface, for the tests of the request path.
 */
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "request_path/node_worker.h"
#include "standin/loopback_socket.h"

namespace sycamorewinch {

/** How a call reaches its target. */
enum class call_path : std::uint8_t {
    local,        ///< The node that the caller connects to is beside the target.
    through_peer, ///< The node that the caller connects to forwards to another one.
};

/** A node with one worker, and the records that it reports. */
struct test_node {
    metrics_registry metrics_;
    node_state state_;
    std::mutex mutex_;
    std::vector<crash_record> crash_records_;  ///< Reported by this node; guarded by mutex_.
    std::vector<run_operation_kind> run_ends_; ///< How its runs ended; guarded by mutex_.
    std::optional<memory_account> account_;    ///< Set if what its callers hold is limited.
    std::unique_ptr<node_worker> worker_;

    /** Returns how many crash records of \p event this node has reported. */
    auto crash_record_count(crash_event event) -> std::size_t;
    /** Returns how many runs of unrepeatable requests have ended with \p kind. */
    auto run_end_count(run_operation_kind kind) -> std::size_t;

    explicit test_node(const std::string& own_address) : state_(own_address, metrics_) {}
};

/** Returns the table's only row. It is not repeatable but has retries, so that the tests detect a
 * node that retries a call which may have run. */
[[nodiscard]] auto unrepeatable_row() -> row;

/** One node or two that serve the service `dialer`, which has one target, `d1`. */
class node_fixture {
  public:
    /** With \p memory_limit, callers of each node may hold so many bytes together. */
    node_fixture(call_path path, std::uint16_t target_port, const row& row = unrepeatable_row(),
                 std::uint32_t slots = 1'000,
                 const header_mapping& mapping = native_header_mapping(),
                 std::optional<std::uint64_t> memory_limit = std::nullopt);

    /** Returns the port that callers connect to. */
    [[nodiscard]] auto caller_port() const -> std::uint16_t;
    /** Returns the node that callers connect to. */
    [[nodiscard]] auto entry_node() -> test_node& { return *entry_node_; }
    /** Returns the node beside the target; for call_path::local the same as entry_node(). */
    [[nodiscard]] auto target_node() -> test_node&
    {
        return target_node_ ? *target_node_ : *entry_node_;
    }
    /** Puts a table with \p row and \p organisations in force on each node. */
    void publish(const row& row, const std::vector<organisation>& organisations);
    /** Opens a caller's connection to entry_node(). */
    [[nodiscard]] auto connect() const -> std::unique_ptr<loopback_socket>;

  private:
    /** Calls \p action with each node and the address under which it knows the node beside the
     * target. */
    void for_each_node(
        const std::function<void(test_node& node, const std::string& target_address)>& action);

    std::unique_ptr<test_node> target_node_;
    std::unique_ptr<test_node> entry_node_;
};

/** Returns whether \p bytes hold a complete response head and at least as many body bytes as its
 * content-length field states. */
[[nodiscard]] auto is_complete_response(const std::string& bytes) -> bool;

/** Returns an HTTP/1.1 response with status 200 and \p body. */
[[nodiscard]] auto make_response(std::string_view body) -> std::string;

} // namespace sycamorewinch
