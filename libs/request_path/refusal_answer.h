/** \file
 * How a refusal is shown to a caller: status, marks, Retry-After and a short JSON body.
 */
#pragma once

#include <string_view>

#include "http1/http1_server_connection.h"
#include "request_path/exchange.h"

namespace sycamorewinch {

/** Answers the current request of \p connection with a refusal. */
void answer_refusal(http1_server_connection& connection, const refusal& refusal,
                    std::string_view service);

} // namespace sycamorewinch
