/** \file
 * Sends one edit to the control group and reports its outcome.
 */
#pragma once

#include "cli/command_context.h"
#include "table/table.h"
#include "table/table_check.h"

namespace sycamorewinch {

/** An edit to be accepted. */
struct table_edit {
    std::string edit_id_;
    table base_; ///< What the operator saw.
    table mine_; ///< What it shall become; the number plays no part.
};

/** What became of an edit. */
struct edit_result {
    exit_status status_ = exit_status::failed;
    table_version version_; ///< Done: the accepted version.
};

/** Reads the accepted table from the leader. */
[[nodiscard]] auto fetch_table(command_context& context) -> result<table>;

/** Returns the id that the operator gave, or a new one. */
[[nodiscard]] auto choose_edit_id(const command_context& context) -> std::string;

/** Prints what is wrong with \p rows, if anything, and returns done or bad_table. */
[[nodiscard]] auto report_findings(command_context& context, const std::vector<row>& rows)
    -> exit_status;

/** Sends \p edit until its outcome is known, and prints that: the version, the conflicting cells
 * (base, theirs, yours) or why it was refused. */
[[nodiscard]] auto send_edit(command_context& context, const table_edit& edit) -> edit_result;

} // namespace sycamorewinch
