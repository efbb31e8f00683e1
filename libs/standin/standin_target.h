/** \file
 * A stand-in for a real target, for tests, the demo and benchmarks only: answers HTTP/1.1 requests
 * and announces itself to the node beside it.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http1/http1_server_connection.h"
#include "standin/stated_load.h"
#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

/** Begins a line of a journal that describes a request which what the target states does not allow;
 * every other line is the key of a request. */
constexpr std::string_view disallowed_request_mark = "! ";

/** Settings of a stand-in target. */
struct standin_target_options {
    std::string service_;
    std::string target_;
    peer_address listen_;                ///< Port 0 selects a free port.
    std::chrono::milliseconds delay_{0}; ///< Before each response.
    std::string crash_path_; ///< A request for this path ends the process; empty: none does.
    std::uint32_t slots_ = 10;
    std::chrono::milliseconds lease_{2'000}; ///< Renewed four times per lease.
    /** Admin address of the node beside it. If unset, the target does not announce itself. */
    std::optional<peer_address> node_admin_;
    stated_load_options stated_; ///< What it states in its responses.
    /** Called with a description of each request that what it states does not allow. */
    std::function<void(const std::string& problem)> on_disallowed_request_;
    /** Called with the idempotency key, or else the path, of each complete request. */
    std::function<void(const std::string& key)> on_run_;
};

/** A running stand-in target. Runs in the event loop of the thread that created it. It responds
 * with status 200 and the text `SERVICE TARGET COUNT METHOD PATH BODY`. */
class standin_target {
  public:
    [[nodiscard]] static auto start(standin_target_options options)
        -> result<std::unique_ptr<standin_target>>;
    standin_target(const standin_target&) = delete;
    auto operator=(const standin_target&) -> standin_target& = delete;
    standin_target(standin_target&&) = delete;
    auto operator=(standin_target&&) -> standin_target& = delete;
    ~standin_target();

    [[nodiscard]] auto port() const -> std::uint16_t;
    /** Returns the number of complete requests by idempotency key or, without one, by path. */
    [[nodiscard]] auto runs() const -> const std::map<std::string, unsigned>&;
    /** Announces itself to the node at once. \p draining asks for no new requests, and ends the
     * periodic announcements. */
    void announce(bool draining);

  private:
    explicit standin_target(standin_target_options options);
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
