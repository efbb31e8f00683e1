/** \file
 * How a refusal is shown to a caller: status, marks, Retry-After and a short JSON body.
 */
#pragma once

#include <string_view>

#include "http1/http1_server_connection.h"
#include "request_path/header_mapping.h"

namespace sycamorewinch {

/** Returns the HTTP status for \p refusal. One that promises that the request has not run is only
 * used where that is known. */
[[nodiscard]] auto status_of(const refusal& refusal) -> unsigned;

/** Answers the current request of \p connection with a refusal. */
void answer_refusal(http1_server_connection& connection, const header_mapping& mapping,
                    const refusal& refusal, std::string_view service);

} // namespace sycamorewinch
