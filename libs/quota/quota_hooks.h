/** \file
 * How the parts of a node's quotas reach other nodes.
 */
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "quota/quota_message.h"

namespace sycamorewinch {

/** Receives the answer of another node at \p now; nothing if it did not answer or grants nothing
 * now. */
using grant_hook = std::function<void(const std::optional<quota_grant>& grant, instant now)>;

/** Sends \p ask to the node at \p address and calls \p answer once, at the latest after
 * \p timeout; it may be called at once. */
using send_ask_hook = std::function<void(const std::string& address, const quota_ask& ask,
                                         std::chrono::milliseconds timeout, grant_hook answer)>;

} // namespace sycamorewinch
