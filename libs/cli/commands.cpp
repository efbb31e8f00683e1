#include "cli/commands.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "cli/command_list.h"

namespace sycamorewinch {

namespace {

/** A command of the tool. */
struct command {
    std::string_view name_; ///< One or more words, separated by spaces.
    std::string_view arguments_;
    std::size_t argument_count_;
    std::string_view help_;
    exit_status (*run_)(command_context&, const command_words&);
};

constexpr std::array commands{
    command{"table show", "", 0, "print the accepted table", show_table},
    command{"table export", "FILE", 1, "write the accepted table to a working copy, with FILE.base",
            export_table},
    command{"table import", "FILE", 1, "turn a CSV file into a working copy", import_table},
    command{"table check", "FILE", 1, "validate a file; print findings by row and column",
            check_file},
    command{"table diff", "FILE", 1, "show the cells that a working copy changes", diff_table},
    command{"table set", "SERVICE COLUMN VALUE", 3,
            "change one cell of the accepted table, or of --file FILE", set_table_cell},
    command{"table add-row", "SERVICE PATH_PREFIX", 2,
            "add a row to the accepted table, or to --file FILE", add_row},
    command{"table remove-row", "SERVICE", 1,
            "remove a row from the accepted table, or from --file FILE", remove_row},
    command{"table accept", "FILE", 1, "submit a working copy as the next version of the table",
            accept_table},
    command{"table merge", "FILE", 1, "merge the accepted table into a working copy", merge_file},
    command{"table history", "", 0, "list the accepted versions", show_history},
    command{"status", "", 0, "print the state of each control replica", show_status},
    command{"watch", "", 0, "wait until a version is in force everywhere", watch_version},
    command{"targets", "", 0, "list the known targets", show_targets},
    command{"organisations", "", 0, "list the organisations of the accepted table and their quotas",
            show_organisations},
    command{"drain target", "SERVICE TARGET", 2, "stop sending new calls to a target",
            drain_target},
    command{"drain node", "ADDRESS", 1, "stop sending new calls to a node's targets", drain_node},
    command{"undrain target", "SERVICE TARGET", 2, "send calls to a target again", undrain_target},
    command{"undrain node", "ADDRESS", 1, "send calls to a node's targets again", undrain_node},
    command{"rollout start", "SERVICE VERSION SECONDS", 3,
            "move the calls of a service to a new version within a time", start_rollout},
    command{"rollout show", "", 0, "print the latest roll-out of each service with its steps",
            show_rollouts},
    command{"rollout watch", "SERVICE", 1, "print steps until the roll-out has ended",
            watch_rollout},
    command{"refusals", "", 0, "count refused calls by reason and service", show_refusals},
};

struct exit_status_entry {
    exit_status status_;
    std::string_view help_;
};

constexpr std::array exit_status_entries{
    exit_status_entry{exit_status::done, "done"},
    exit_status_entry{exit_status::failed, "the control group refused or could not be reached"},
    exit_status_entry{exit_status::wrong_arguments, "invalid command, option or file"},
    exit_status_entry{exit_status::conflict,
                      "another version was accepted first; nothing was accepted"},
    exit_status_entry{exit_status::bad_table, "the table has findings; nothing was accepted"},
    exit_status_entry{exit_status::not_in_force, "watch, rollout watch: timed out before the end"},
    exit_status_entry{exit_status::outcome_unknown,
                      "the edit may have been accepted; send it again with the same edit id"},
};

auto word_count(std::string_view name) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count(name, ' ')) + 1;
}

auto matches_command(const std::vector<std::string>& words, std::string_view name) -> bool
{
    const auto name_length = word_count(name);
    if (words.size() < name_length) {
        return false;
    }
    const auto end = words.begin() + static_cast<std::ptrdiff_t>(name_length);
    return fmt::format("{}", fmt::join(words.begin(), end, " ")) == name;
}

} // namespace

auto run_command(command_context& context, const std::vector<std::string>& words) -> exit_status
{
    const auto found = std::ranges::find_if(commands, [&words](const command& known_command) {
        return matches_command(words, known_command.name_);
    });
    if (found == commands.end()) {
        return fail(context, "unknown command; see --help", exit_status::wrong_arguments);
    }
    const auto name_length = static_cast<std::ptrdiff_t>(word_count(found->name_));
    const command_words arguments(words.begin() + name_length, words.end());
    if (arguments.size() != found->argument_count_) {
        return fail(context,
                    fmt::format("usage: sycamorewinch {} {}", found->name_, found->arguments_),
                    exit_status::wrong_arguments);
    }
    return found->run_(context, arguments);
}

auto command_help() -> std::string
{
    std::string help;
    for (const auto& command : commands) {
        const auto usage = fmt::format("{} {}", command.name_, command.arguments_);
        help += fmt::format("  {:<34}{}\n", usage, command.help_);
    }
    return help;
}

auto exit_status_help() -> std::string
{
    std::string help;
    for (const auto& entry : exit_status_entries) {
        help += fmt::format("  {}  {}\n", static_cast<int>(entry.status_), entry.help_);
    }
    return help;
}

} // namespace sycamorewinch
