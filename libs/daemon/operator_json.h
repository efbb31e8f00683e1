/** \file
 * JSON representations of the types in the operator API.
 */
#pragma once

#include <QJsonArray>
#include <QJsonObject>

#include "control/replicated_state.h"
#include "membership/target_record.h"

namespace sycamorewinch {

[[nodiscard]] auto to_json(std::string_view text) -> QString;
/** `{"number":7,"digest":"..."}` */
[[nodiscard]] auto to_json(const table_version& version) -> QJsonObject;
/** `{"status":"conflict","version":..,"conflicts":[..],"message":".."}` */
[[nodiscard]] auto to_json(const accept_outcome& outcome) -> QJsonObject;
[[nodiscard]] auto to_json(const std::vector<zone_progress>& zones) -> QJsonArray;
[[nodiscard]] auto to_json(const target_record& target) -> QJsonObject;
[[nodiscard]] auto to_json(const history_entry& entry) -> QJsonObject;
/** `{"name":..,"keys":2,"per_second":7.5,"burst":15,"priority":1}`; never a key or its digest. No
 * rate: unlimited. No priority: that of the row. */
[[nodiscard]] auto to_json(const organisation& organisation) -> QJsonObject;

/** Parses `{"edit_id":..,"operator":..,"base":{"number":..,"digest":..},"csv":..}`. The change is
 * the difference of its rows from those of \p current, whose connection bounds and organisations
 * stay; if the base is another version, it only serves to report the
 * conflicts. */
[[nodiscard]] auto read_accept_command(const QJsonObject& object, const table& current)
    -> result<accept_command>;

} // namespace sycamorewinch
