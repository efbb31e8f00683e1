#include "bench/series.h"

#include <algorithm>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <fmt/core.h>

namespace sycamorewinch {

namespace {

auto to_json(const series& entry) -> QJsonObject
{
    QJsonArray points;
    for (const auto& point : entry.points_) {
        points.append(QJsonArray{point.size_, point.low_, point.median_, point.high_});
    }
    return {{"name", QString::fromStdString(entry.name_)},
            {"size", QString::fromStdString(entry.size_name_)},
            {"unit", QString::fromStdString(entry.unit_)},
            {"exact", entry.is_exact_},
            {"points", points}};
}

auto read_string(const QJsonObject& object, const char* name) -> std::string
{
    return object.value(QLatin1String(name)).toString().toStdString();
}

auto parse_series(const QJsonObject& object) -> series
{
    series entry{read_string(object, "name"),
                 read_string(object, "size"),
                 read_string(object, "unit"),
                 object.value(QLatin1String("exact")).toBool(),
                 {}};
    for (const auto& value : object.value(QLatin1String("points")).toArray()) {
        const auto point = value.toArray();
        entry.points_.push_back({point.at(0).toDouble(), point.at(1).toDouble(),
                                 point.at(2).toDouble(), point.at(3).toDouble()});
    }
    return entry;
}

} // namespace

auto measure_series(series description, const std::vector<std::uint64_t>& sizes,
                    const run_settings& settings, const measure_hook& measure) -> series
{
    for (const auto size : sizes) {
        std::vector<double> repeats;
        const auto count = description.is_exact_ ? 1U : settings.repeats_;
        for (unsigned repeat = 0; repeat < count; ++repeat) {
            repeats.push_back(measure(size));
        }
        description.points_.push_back(summarize(static_cast<double>(size), std::move(repeats)));
    }
    return description;
}

auto find_series(const raw_run& run, const std::string& name) -> result<series>
{
    const auto found = std::ranges::find(run.series_, name, &series::name_);
    if (found != run.series_.end()) {
        return *found;
    }
    std::string names;
    for (const auto& entry : run.series_) {
        names += " " + entry.name_;
    }
    return failure(error_kind::not_found,
                   fmt::format("the run has no series '{}'; it has:{}", name, names));
}

auto to_json_text(const raw_run& run) -> std::string
{
    QJsonArray all_series;
    for (const auto& entry : run.series_) {
        all_series.append(to_json(entry));
    }
    const QJsonObject object{{"seed", static_cast<qint64>(run.settings_.seed_)},
                             {"repeats", static_cast<int>(run.settings_.repeats_)},
                             {"series", all_series}};
    return QJsonDocument(object).toJson().toStdString();
}

auto parse_raw_run(const std::string& text) -> result<raw_run>
{
    QJsonParseError parse_error;
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text), &parse_error);
    if (!document.isObject()) {
        return failure(error_kind::invalid_input,
                       fmt::format("the raw run is not a JSON object: {}",
                                   parse_error.errorString().toStdString()));
    }
    const auto object = document.object();
    raw_run run;
    run.settings_.seed_ =
        static_cast<std::uint64_t>(object.value(QLatin1String("seed")).toInteger());
    run.settings_.repeats_ = static_cast<unsigned>(object.value(QLatin1String("repeats")).toInt());
    for (const auto& value : object.value(QLatin1String("series")).toArray()) {
        run.series_.push_back(parse_series(value.toObject()));
    }
    return run;
}

} // namespace sycamorewinch
