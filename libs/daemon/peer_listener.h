/** \file
 * Accepts connections from other processes on the main thread and dispatches their requests by
 * path.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "observability/metrics.h"
#include "transport/peer_connection.h"
#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

/** Serves the requests to one path; returns the hooks of the new stream. */
using path_handler =
    std::function<stream_hooks(const std::shared_ptr<h2_connection>& connection, stream_id stream)>;

/** Listens for connections from peers. */
class peer_listener {
  public:
    peer_listener(cluster_key key, metrics_registry& metrics);

    /** Registers the handler of a path. Requests to other paths get status 404. */
    void handle(std::string_view path, path_handler handler);

    [[nodiscard]] auto listen(const peer_address& address) -> result<void>;

  private:
    void accept(std::unique_ptr<QTcpSocket> socket);

    cluster_key key_;
    metrics_registry& metrics_;
    std::map<std::string, path_handler, std::less<>> handlers_;
    std::unique_ptr<reuse_port_listener> listener_;
    std::set<std::shared_ptr<h2_connection>> connections_;
};

} // namespace sycamorewinch
