#include <ostream>

#include <QFile>
#include <QJsonArray>
#include <fmt/core.h>

#include "cli/accept_edit.h"
#include "cli/command_list.h"
#include "cli/table_output.h"
#include "cli/working_copy.h"

namespace sycamorewinch {

namespace {

/** Returns whether \p file may hold edits that are not in its base version: overwriting it would
 * lose them. True also when the file or its base cannot be read, or when an edit is pending. */
auto has_unaccepted_edits(const std::string& file) -> bool
{
    if (!QFile::exists(QString::fromStdString(file))) {
        return false;
    }
    const auto rows = read_rows(file);
    const auto base = read_base(file);
    return !rows || !base || base->pending_ ||
           make_table(0, *rows).version_.digest_ != base->table_.version_.digest_;
}

void report_working_copy(command_context& context, const std::string& file, const table& table)
{
    if (context.json_) {
        print_json(context, {{"file", json_text(file)}, {"version", json_of(table.version_)}});
        return;
    }
    context.out_ << fmt::format("{}: {} rows, based on version {}\n", file, table.rows_.size(),
                                to_text(table.version_));
}

} // namespace

auto show_table(command_context& context, const command_words&) -> exit_status
{
    const auto table = fetch(context, "/v1/table");
    if (!table) {
        return fail(context, table.error().message_);
    }
    if (context.json_) {
        print_json(context, *table);
        return exit_status::done;
    }
    const auto version = table->value(QLatin1String("version")).toObject();
    context.out_ << fmt::format("version {} ({})\n", number_of(version, "number"),
                                text_of(version, "digest"))
                 << text_of(*table, "csv");
    return exit_status::done;
}

auto export_table(command_context& context, const command_words& arguments) -> exit_status
{
    const auto& file = arguments[0];
    if (has_unaccepted_edits(file)) {
        return fail(
            context,
            fmt::format("{} contains edits that are not accepted; accept them or remove the file",
                        file),
            exit_status::wrong_arguments);
    }
    const auto table = fetch_table(context);
    if (!table) {
        return fail(context, table.error().message_);
    }
    const auto written = write_rows(file, table->rows_).and_then([&] {
        return write_base(file, {*table, std::nullopt});
    });
    if (!written) {
        return fail(context, written.error().message_, exit_status::wrong_arguments);
    }
    report_working_copy(context, file, *table);
    return exit_status::done;
}

auto import_table(command_context& context, const command_words& arguments) -> exit_status
{
    const auto& file = arguments[0];
    const auto rows = read_rows(file);
    if (!rows) {
        return fail(context, rows.error().message_, exit_status::bad_table);
    }
    if (const auto status = report_findings(context, *rows); status != exit_status::done) {
        return status;
    }
    const auto table = fetch_table(context);
    if (!table) {
        return fail(context, table.error().message_);
    }
    if (const auto written = write_base(file, {*table, std::nullopt}); !written) {
        return fail(context, written.error().message_, exit_status::wrong_arguments);
    }
    report_working_copy(context, file, *table);
    return exit_status::done;
}

auto check_file(command_context& context, const command_words& arguments) -> exit_status
{
    const auto rows = read_rows(arguments[0]);
    if (!rows) {
        return fail(context, rows.error().message_, exit_status::bad_table);
    }
    const auto status = report_findings(context, *rows);
    if (status != exit_status::done) {
        return status;
    }
    if (context.json_) {
        print_json(context, {{"status", "good"}, {"rows", static_cast<qint64>(rows->size())}});
        return status;
    }
    context.out_ << fmt::format("{}: {} rows, no findings\n", arguments[0], rows->size());
    return status;
}

auto diff_table(command_context& context, const command_words& arguments) -> exit_status
{
    const auto rows = read_rows(arguments[0]);
    if (!rows) {
        return fail(context, rows.error().message_, exit_status::bad_table);
    }
    const auto base = read_base(arguments[0]);
    if (!base) {
        return fail(context, base.error().message_, exit_status::wrong_arguments);
    }
    const auto changes = changed_cells(base->table_, make_table(0, *rows));
    if (context.json_) {
        print_json(context,
                   {{"base", json_of(base->table_.version_)}, {"changes", json_of(changes)}});
        return exit_status::done;
    }
    context.out_ << fmt::format("{} cells differ from version {}\n", changes.size(),
                                to_text(base->table_.version_));
    print_changes(context.out_, changes);
    return exit_status::done;
}

auto show_history(command_context& context, const command_words&) -> exit_status
{
    const auto response = fetch(context, "/v1/table/history");
    if (!response) {
        return fail(context, response.error().message_);
    }
    if (context.json_) {
        print_json(context, *response);
        return exit_status::done;
    }
    for (const auto& value : response->value(QLatin1String("history")).toArray()) {
        const auto entry = value.toObject();
        const auto version = entry.value(QLatin1String("version")).toObject();
        context.out_ << fmt::format("{:>6}  {}  {} rows by {} (edit {})\n",
                                    number_of(version, "number"), text_of(version, "digest"),
                                    number_of(entry, "rows_changed"), text_of(entry, "operator"),
                                    text_of(entry, "edit_id"));
    }
    return exit_status::done;
}

} // namespace sycamorewinch
