/** \file
 * The command functions; commands.cpp maps command names to them.
 */
#pragma once

#include "cli/command_context.h"

namespace sycamorewinch {

// The accepted table and working copies (table_commands.cpp).
auto show_table(command_context& context, const command_words& arguments) -> exit_status;
auto export_table(command_context& context, const command_words& arguments) -> exit_status;
auto import_table(command_context& context, const command_words& arguments) -> exit_status;
auto check_file(command_context& context, const command_words& arguments) -> exit_status;
auto diff_table(command_context& context, const command_words& arguments) -> exit_status;
auto show_history(command_context& context, const command_words& arguments) -> exit_status;

// Edits (edit_commands.cpp).
auto set_table_cell(command_context& context, const command_words& arguments) -> exit_status;
auto add_row(command_context& context, const command_words& arguments) -> exit_status;
auto remove_row(command_context& context, const command_words& arguments) -> exit_status;
auto accept_table(command_context& context, const command_words& arguments) -> exit_status;
auto merge_file(command_context& context, const command_words& arguments) -> exit_status;

// Status of the system (system_commands.cpp, watch_command.cpp, refusals_command.cpp).
auto show_status(command_context& context, const command_words& arguments) -> exit_status;
auto show_targets(command_context& context, const command_words& arguments) -> exit_status;
auto show_organisations(command_context& context, const command_words& arguments) -> exit_status;
auto watch_version(command_context& context, const command_words& arguments) -> exit_status;
auto show_refusals(command_context& context, const command_words& arguments) -> exit_status;

// Roll-outs (rollout_commands.cpp).
auto start_rollout(command_context& context, const command_words& arguments) -> exit_status;
auto show_rollouts(command_context& context, const command_words& arguments) -> exit_status;
auto watch_rollout(command_context& context, const command_words& arguments) -> exit_status;

// Draining (drain_commands.cpp).
auto drain_target(command_context& context, const command_words& arguments) -> exit_status;
auto undrain_target(command_context& context, const command_words& arguments) -> exit_status;
auto drain_node(command_context& context, const command_words& arguments) -> exit_status;
auto undrain_node(command_context& context, const command_words& arguments) -> exit_status;

} // namespace sycamorewinch
