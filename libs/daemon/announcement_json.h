/** \file
 * The announcement of a target as JSON, in the product's own interface.
 */
#pragma once

#include <QJsonObject>

#include "daemon/target_registry.h"

namespace sycamorewinch {

/** Parses `{"service":..,"target":..,"address":"IP:PORT","slots":..}` and the optional fields. */
[[nodiscard]] auto read_announcement(const QJsonObject& object) -> result<target_announcement>;

} // namespace sycamorewinch
