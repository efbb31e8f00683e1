/** \file
 * Requests for tokens of a quota between two nodes, as HTTP/2 exchanges with CBOR bodies.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "quota/quota_client.h"
#include "request_path/peer_exchange.h"
#include "transport/h2_connection.h"

namespace sycamorewinch {

/** Sends \p ask to the node at \p address. Calls \p answer once: with the grant, or with nothing if
 * the node did not answer within \p timeout, or grants no tokens now. */
void send_quota_ask(peer_connections& peers, const peer_address& address, const quota_ask& ask,
                    std::chrono::milliseconds timeout, grant_hook answer);

/** Returns whether \p headers, received from another node, are those of a quota_ask. */
[[nodiscard]] auto is_quota_ask(const header_list& headers) -> bool;

/** Sends the answer to a quota_ask; nothing if this node grants no tokens now. */
using quota_answer_hook = std::function<void(const std::optional<quota_grant>& grant)>;

/** Serves the quota_ask of another node on \p stream: calls \p handle with it once it is read, and
 * sends the answer that \p handle gives, at once or later. Returns the hooks of the stream. */
[[nodiscard]] auto
serve_quota_ask(const std::shared_ptr<h2_connection>& connection, stream_id stream,
                std::function<void(const quota_ask& ask, quota_answer_hook reply)> handle)
    -> stream_hooks;

} // namespace sycamorewinch
