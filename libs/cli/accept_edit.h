/** \file
 * Submits an edit of the table to the control group and reports its outcome to the operator.
 */
#pragma once

#include "cli/command_context.h"
#include "table/table.h"
#include "table/table_check.h"

namespace sycamorewinch {

/** An edit submitted for acceptance. */
struct table_edit {
    std::string edit_id_;
    table base_; ///< The accepted table that the edit was made on.
    table mine_; ///< The edited table; its version number is ignored.
};

/** The outcome of an edit. */
struct edit_result {
    exit_status status_ = exit_status::failed;
    table_version version_; ///< On `done`, the accepted version; on `conflict`, the current one if
                            ///< it was read.
};

/** Reads the accepted table from the leader; `corrupt` when its digest does not match its rows. */
[[nodiscard]] auto fetch_table(command_context& context) -> result<table>;

/** Returns the edit id given by the operator, or a new random one. */
[[nodiscard]] auto choose_edit_id(const command_context& context) -> std::string;

/** Validates \p rows and prints the findings. Returns `done`, or `bad_table` if there are any. */
[[nodiscard]] auto report_findings(command_context& context, const std::vector<row>& rows)
    -> exit_status;

/** Sends \p edit, with retries until its outcome is known or the client's timeout passes, and
 * prints the outcome: the accepted version, the conflicting cells (base, theirs, yours) or the
 * reason of the refusal. */
[[nodiscard]] auto send_edit(command_context& context, const table_edit& edit) -> edit_result;

} // namespace sycamorewinch
