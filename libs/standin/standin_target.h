/** \file
 * A stand-in for a target, for tests, the demo and the bench alone: answers requests over HTTP/1.1
 * and announces itself to the node beside it.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http1/http1_server_connection.h"
#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

/** How a stand-in target behaves. */
struct standin_target_options {
    std::string service_;
    std::string target_;
    peer_address listen_;                ///< Port 0 takes a free one.
    std::chrono::milliseconds delay_{0}; ///< Before each answer.
    std::string crash_path_;             ///< A request for it ends the process; empty: none does.
    std::uint32_t slots_ = 10;
    std::chrono::milliseconds lease_{2'000};
    /** The admin address of the node beside it; without one it does not announce itself. */
    std::optional<peer_address> node_admin_;
    /** Is told the idempotency key, or else the path, of each request that arrived whole. */
    std::function<void(const std::string& key)> on_run_;
};

/** A running stand-in target, in the event loop of the thread that made it. It answers 200 with
 * `SERVICE TARGET COUNT METHOD PATH BODY`. */
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
    /** Returns how many requests arrived whole, by idempotency key, path or body. */
    [[nodiscard]] auto runs() const -> const std::map<std::string, unsigned>&;
    /** Announces itself once more, now; \p draining asks for no new work. */
    void announce(bool draining);

  private:
    explicit standin_target(standin_target_options options);
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
