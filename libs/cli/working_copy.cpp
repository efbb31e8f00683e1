#include "cli/working_copy.h"

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>
#include <QSaveFile>
#include <fmt/core.h>

#include "cli/command_context.h"
#include "table/table_csv.h"

namespace sycamorewinch {

namespace {

auto read_file(const std::string& path) -> result<std::string>
{
    QFile file(QString::fromStdString(path));
    if (!file.exists()) {
        return failure(error_kind::not_found, fmt::format("file {} does not exist", path));
    }
    if (!file.open(QIODevice::ReadOnly)) {
        return failure(error_kind::io,
                       fmt::format("cannot read {}: {}", path, file.errorString().toStdString()));
    }
    return file.readAll().toStdString();
}

auto write_file(const std::string& path, const std::string& text) -> result<void>
{
    QSaveFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::WriteOnly) ||
        file.write(QByteArray::fromStdString(text)) != static_cast<qint64>(text.size()) ||
        !file.commit()) {
        return failure(error_kind::io,
                       fmt::format("cannot write {}: {}", path, file.errorString().toStdString()));
    }
    return {};
}

auto damaged_base_error(const std::string& file) -> tl::unexpected<error>
{
    return failure(error_kind::corrupt,
                   fmt::format("{} is damaged; remove it and run 'table import {}'",
                               base_path_of(file), file));
}

auto read_pending(const QJsonObject& object) -> result<std::optional<pending_edit>>
{
    if (!object.contains(QLatin1String("pending"))) {
        return std::nullopt;
    }
    const auto pending = object.value(QLatin1String("pending")).toObject();
    return parse_digest(text_of(pending, "rows")).map([&pending](const digest& rows) {
        return std::optional(pending_edit{text_of(pending, "edit_id"), rows});
    });
}

} // namespace

auto base_path_of(const std::string& file) -> std::string
{
    return file + ".base";
}

auto read_rows(const std::string& file) -> result<std::vector<row>>
{
    return read_file(file).and_then(read_csv).map_error([&file](const error& problem) {
        const bool mentions_file = problem.message_.find(file) != std::string::npos;
        return mentions_file ? problem : error{problem.kind_, file + ", " + problem.message_};
    });
}

auto write_rows(const std::string& file, const std::vector<row>& rows) -> result<void>
{
    return write_file(file, write_csv(rows));
}

auto read_base(const std::string& file) -> result<working_base>
{
    const auto text = read_file(base_path_of(file));
    if (!text) {
        return tl::unexpected(text.error());
    }
    const auto object = QJsonDocument::fromJson(QByteArray::fromStdString(*text)).object();
    auto rows = read_csv(text_of(object, "csv"));
    const auto recorded_digest = parse_digest(text_of(object, "digest"));
    const auto pending = read_pending(object);
    if (!rows || !recorded_digest || !pending) {
        return damaged_base_error(file);
    }
    const auto number = static_cast<std::uint64_t>(number_of(object, "number"));
    working_base base{make_table(number, std::move(*rows)), *pending};
    if (base.table_.version_.digest_ != *recorded_digest) {
        return damaged_base_error(file);
    }
    return base;
}

auto write_base(const std::string& file, const working_base& base) -> result<void>
{
    const auto& version = base.table_.version_;
    QJsonObject object{{"number", static_cast<qint64>(version.number_)},
                       {"digest", json_text(to_hex(version.digest_))},
                       {"csv", json_text(write_csv(base.table_.rows_))}};
    if (base.pending_) {
        object.insert("pending",
                      QJsonObject{{"edit_id", json_text(base.pending_->edit_id_)},
                                  {"rows", json_text(to_hex(base.pending_->rows_digest_))}});
    }
    return write_file(base_path_of(file), QJsonDocument(object).toJson().toStdString());
}

} // namespace sycamorewinch
