#include <algorithm>
#include <functional>
#include <ostream>

#include <fmt/core.h>

#include "cli/accept_edit.h"
#include "cli/command_list.h"
#include "cli/table_output.h"
#include "cli/working_copy.h"

namespace sycamorewinch {

namespace {

constexpr std::chrono::milliseconds default_row_timeout{2'000};

/** Changes rows in place; the error message is shown to the operator. */
using row_edit = std::function<result<void>(std::vector<row>& rows)>;

auto edit_file(command_context& context, const std::string& file, const row_edit& edit)
    -> exit_status
{
    auto rows = read_rows(file);
    if (!rows) {
        return fail(context, rows.error().message_, exit_status::bad_table);
    }
    if (const auto edited = edit(*rows); !edited) {
        return fail(context, edited.error().message_, exit_status::bad_table);
    }
    if (const auto written = write_rows(file, *rows); !written) {
        return fail(context, written.error().message_, exit_status::wrong_arguments);
    }
    return exit_status::done;
}

auto edit_accepted_table(command_context& context, const row_edit& edit) -> exit_status
{
    const auto base = fetch_table(context);
    if (!base) {
        return fail(context, base.error().message_);
    }
    auto rows = base->rows_;
    if (const auto edited = edit(rows); !edited) {
        return fail(context, edited.error().message_, exit_status::bad_table);
    }
    if (const auto status = report_findings(context, rows); status != exit_status::done) {
        return status;
    }
    const table_edit edit_to_send{choose_edit_id(context), *base, make_table(0, std::move(rows))};
    const auto status = send_edit(context, edit_to_send).status_;
    if (status == exit_status::outcome_unknown) {
        context.errors_ << fmt::format(
            "run the same command with --edit-id={} to learn the outcome; the edit is applied at "
            "most once\n",
            edit_to_send.edit_id_);
    }
    return status;
}

auto apply_edit(command_context& context, const row_edit& edit) -> exit_status
{
    const auto& file = context.options_.file_;
    return file.empty() ? edit_accepted_table(context, edit) : edit_file(context, file, edit);
}

auto find_row(std::vector<row>& rows, const std::string& service) -> result<row*>
{
    const auto found = std::ranges::find(rows, service, &row::service_);
    if (found == rows.end()) {
        return failure(
            error_kind::not_found,
            fmt::format("{}, column service: the table has no row for this service", service));
    }
    return &*found;
}

auto set_cell_in_rows(std::vector<row>& rows, const command_words& arguments) -> result<void>
{
    const auto found = find_row(rows, arguments[0]);
    if (!found) {
        return tl::unexpected(found.error());
    }
    const auto column = parse_table_column(arguments[1]);
    if (!column) {
        return tl::unexpected(column.error());
    }
    return set_cell(**found, *column, arguments[2]).map_error([&](const error& problem) {
        return error{problem.kind_, fmt::format("{}, column {}: {}", arguments[0], arguments[1],
                                                problem.message_)};
    });
}

/** Returns the base of a working copy. A file without `FILE.base` is allowed only while the
 * accepted table is the initial one (version 0): later, accepting it could overwrite rows that the
 * operator has not seen. */
auto read_base_or_initial_table(command_context& context, const std::string& file)
    -> result<working_base>
{
    auto base = read_base(file);
    if (base || base.error().kind_ != error_kind::not_found) {
        return base;
    }
    auto accepted = fetch_table(context);
    if (!accepted) {
        return tl::unexpected(accepted.error());
    }
    if (accepted->version_.number_ != 0) {
        return failure(
            error_kind::invalid_input,
            fmt::format("{} is missing, so the base version of {} is unknown; run 'table "
                        "import {}', then check 'table diff {}'",
                        base_path_of(file), file, file, file));
    }
    return working_base{std::move(*accepted), std::nullopt};
}

/** Returns the id of the edit: the one given by the operator, the pending one when the rows are
 * unchanged since it was sent, or a new one. */
auto edit_id_for(const command_context& context, const working_base& base, const table& mine)
    -> std::string
{
    if (context.options_.edit_id_.empty() && base.pending_ &&
        base.pending_->rows_digest_ == mine.version_.digest_) {
        return base.pending_->edit_id_;
    }
    return choose_edit_id(context);
}

auto send_working_copy(command_context& context, const std::string& file, working_base base,
                       table mine) -> exit_status
{
    const table_edit edit{edit_id_for(context, base, mine), base.table_, mine};
    base.pending_ = pending_edit{edit.edit_id_, mine.version_.digest_};
    if (const auto written = write_base(file, base); !written) {
        return fail(context, written.error().message_, exit_status::wrong_arguments);
    }
    const auto outcome = send_edit(context, edit);
    if (outcome.status_ == exit_status::outcome_unknown) {
        context.errors_
            << "run the same command again to learn the outcome; the edit is applied at "
               "most once\n";
        return outcome.status_;
    }
    base.pending_.reset();
    if (outcome.status_ == exit_status::done) {
        base.table_ = make_table(outcome.version_.number_, std::move(mine.rows_));
    }
    if (outcome.status_ == exit_status::conflict && !context.json_) {
        context.errors_ << fmt::format("{} is unchanged; run 'table merge {}' to merge the "
                                       "others' changes into it\n",
                                       file, file);
    }
    if (const auto written = write_base(file, base); !written) {
        return fail(context, written.error().message_, exit_status::wrong_arguments);
    }
    return outcome.status_;
}

auto report_merge(command_context& context, const std::string& file, const working_base& base,
                  const merged_table& merged) -> exit_status
{
    const bool is_merged = merged.conflicts_.empty() || context.options_.keep_mine_;
    if (context.json_) {
        print_json(context, {{"status", is_merged ? "merged" : "conflict"},
                             {"base", json_of(base.table_.version_)},
                             {"conflicts", json_of(merged.conflicts_)}});
    }
    else if (is_merged) {
        context.out_ << fmt::format("{} is now based on version {}\n", file,
                                    to_text(base.table_.version_));
        print_conflicts(context.out_, merged.conflicts_);
    }
    else {
        fail(context, "not merged: these cells were changed on both sides; set them to the wanted "
                      "values and use --keep-mine");
        print_conflicts(context.errors_, merged.conflicts_);
    }
    return is_merged ? exit_status::done : exit_status::conflict;
}

} // namespace

auto set_table_cell(command_context& context, const command_words& arguments) -> exit_status
{
    return apply_edit(context, [&](auto& rows) { return set_cell_in_rows(rows, arguments); });
}

auto add_row(command_context& context, const command_words& arguments) -> exit_status
{
    return apply_edit(context, [&](std::vector<row>& rows) -> result<void> {
        if (find_row(rows, arguments[0])) {
            return failure(
                error_kind::invalid_input,
                fmt::format("{}, column service: the table already has a row for this service",
                            arguments[0]));
        }
        rows.emplace_back();
        rows.back().service_ = arguments[0];
        rows.back().path_prefix_ = arguments[1];
        rows.back().timeout_ = default_row_timeout;
        return {};
    });
}

auto remove_row(command_context& context, const command_words& arguments) -> exit_status
{
    return apply_edit(context, [&](std::vector<row>& rows) {
        return find_row(rows, arguments[0]).map([&rows](row* found) {
            rows.erase(rows.begin() + (found - rows.data()));
        });
    });
}

auto accept_table(command_context& context, const command_words& arguments) -> exit_status
{
    const auto& file = arguments[0];
    const auto rows = read_rows(file);
    if (!rows) {
        return fail(context, rows.error().message_, exit_status::bad_table);
    }
    if (const auto status = report_findings(context, *rows); status != exit_status::done) {
        return status;
    }
    auto base = read_base_or_initial_table(context, file);
    if (!base) {
        const bool is_unavailable = base.error().kind_ == error_kind::unavailable;
        return fail(context, base.error().message_,
                    is_unavailable ? exit_status::failed : exit_status::wrong_arguments);
    }
    return send_working_copy(context, file, std::move(*base), make_table(0, *rows));
}

auto merge_file(command_context& context, const command_words& arguments) -> exit_status
{
    const auto& file = arguments[0];
    const auto rows = read_rows(file);
    const auto base = read_base(file);
    if (!rows || !base) {
        return fail(context, rows ? base.error().message_ : rows.error().message_,
                    exit_status::wrong_arguments);
    }
    if (base->pending_) {
        return fail(context,
                    fmt::format("the outcome of your last edit is unknown; run 'table accept {}' "
                                "again first",
                                file),
                    exit_status::outcome_unknown);
    }
    auto theirs = fetch_table(context);
    if (!theirs) {
        return fail(context, theirs.error().message_);
    }
    const auto merged = merge_tables(base->table_, *theirs, make_table(0, *rows));
    const working_base new_base{std::move(*theirs), std::nullopt};
    const auto status = report_merge(context, file, new_base, merged);
    if (status != exit_status::done) {
        return status;
    }
    const auto written =
        write_rows(file, merged.rows_).and_then([&] { return write_base(file, new_base); });
    return written ? status : fail(context, written.error().message_, exit_status::wrong_arguments);
}

} // namespace sycamorewinch
