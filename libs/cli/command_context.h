/** \file
 * The context shared by all commands of the operators' tool: client, output streams, options, exit
 * statuses and output helpers.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <QJsonObject>

#include "cli/control_client.h"

namespace sycamorewinch {

/** The exit statuses of the operators' tool. */
enum class exit_status : int {
    done = 0,
    failed = 1,          ///< The control group refused the request or could not be reached.
    wrong_arguments = 2, ///< Unknown command or option, or a file that cannot be used.
    conflict = 3,        ///< Another version was accepted first; nothing was accepted.
    bad_table = 4,       ///< The table has findings; nothing was accepted.
    not_in_force = 5,    ///< watch timed out before the version was in force everywhere, or rollout
                         ///< watch before the roll-out had ended.
    outcome_unknown = 6, ///< The edit may have been accepted; send it again with the same id.
};

/** The arguments after a command's name. */
using command_words = std::vector<std::string>;

/** Options that apply to certain commands only. */
struct command_options {
    std::string file_;    ///< table set, add-row, remove-row: edit this working copy instead.
    std::string edit_id_; ///< Empty: a random id is generated.
    std::chrono::seconds watch_timeout_{60};
    std::optional<std::uint64_t> version_; ///< watch: wait for this version; default: current.
    bool keep_mine_ = false; ///< table merge: resolve conflicts with the file's cells.
};

/** The context in which a command runs. */
struct command_context {
    control_client& client_;
    std::ostream& out_;
    std::ostream& errors_;
    bool json_ = false;    ///< Print JSON instead of human-readable text.
    std::string operator_; ///< Operator name recorded in the history.
    command_options options_;
};

/** Prints \p message as one line to the error stream and returns \p status. */
auto fail(command_context& context, const std::string& message,
          exit_status status = exit_status::failed) -> exit_status;

/** Prints \p object as one line of JSON and flushes the output. */
void print_json(command_context& context, const QJsonObject& object);

/** Reads \p path from the leader. Returns the body of a 200 response; any other status is an error
 * with the message of the response. */
[[nodiscard]] auto fetch(command_context& context, const std::string& path) -> result<QJsonObject>;

[[nodiscard]] auto json_text(const std::string& text) -> QString;
[[nodiscard]] auto text_of(const QJsonObject& object, const char* name) -> std::string;
[[nodiscard]] auto number_of(const QJsonObject& object, const char* name) -> std::int64_t;

} // namespace sycamorewinch
