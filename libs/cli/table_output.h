/** \file
 * Formats table versions, changed cells, conflicts and findings as JSON and as human-readable
 * lines.
 */
#pragma once

#include <iosfwd>
#include <vector>

#include <QJsonArray>
#include <QJsonObject>

#include "table/table_cells.h"
#include "table/table_check.h"

namespace sycamorewinch {

[[nodiscard]] auto json_of(const table_version& version) -> QJsonObject;
[[nodiscard]] auto json_of(const std::vector<cell_change>& changes) -> QJsonArray;
[[nodiscard]] auto json_of(const std::vector<merge_conflict>& conflicts) -> QJsonArray;
[[nodiscard]] auto json_of(const std::vector<table_finding>& findings) -> QJsonArray;

/** Prints one line per cell: `  dialer, column rate: '20' -> '30'`. */
void print_changes(std::ostream& out, const std::vector<cell_change>& changes);

/** Prints one line per cell: `  dialer, column rate: base '20', theirs '30', yours '40'`. */
void print_conflicts(std::ostream& out, const std::vector<merge_conflict>& conflicts);

} // namespace sycamorewinch
