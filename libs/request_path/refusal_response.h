/** \file
 * The HTTP response to a refused call: status, refusal header fields, Retry-After and a short JSON
 * body.
 */
#pragma once

#include <string_view>

#include "http1/http1_server_connection.h"
#include "request_path/header_mapping.h"

namespace sycamorewinch {

/** Returns the HTTP status for \p refusal. 429 and 503 imply that the request has not run and are
 * only used if that is known; otherwise the status is 502. */
[[nodiscard]] auto status_of(const refusal& refusal) -> unsigned;

/** Responds to the current request of \p connection with a refusal. */
void send_refusal(http1_server_connection& connection, const header_mapping& mapping,
                  const refusal& refusal, std::string_view service);

} // namespace sycamorewinch
