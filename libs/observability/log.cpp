#include "observability/log.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

#include <unistd.h>

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>
#include <fmt/core.h>
#include <spdlog/logger.h>

#include "base/enum_names.h"
#include "observability/log_rate_limiter.h"
#include "observability/nonblocking_sink.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<log_level, 4> level_names{{"debug", "info", "warning", "error"}};

std::atomic<log_level> minimum_level{log_level::info};

auto to_qstring(std::string_view text) -> QString
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

auto to_json_value(const log_field& field) -> QJsonValue
{
    if (const auto* text = std::get_if<std::string>(&field.value_)) {
        return to_qstring(*text);
    }
    if (const auto* number = std::get_if<std::int64_t>(&field.value_)) {
        return QJsonValue(static_cast<qint64>(*number));
    }
    if (const auto* real = std::get_if<double>(&field.value_)) {
        return *real;
    }
    return std::get<bool>(field.value_);
}

auto make_logger() -> std::shared_ptr<spdlog::logger>
{
    auto logger =
        std::make_shared<spdlog::logger>("sycamorewinch", make_nonblocking_sink(STDOUT_FILENO));
    logger->set_pattern("%v"); // the message is the complete JSON line
    logger->set_level(spdlog::level::trace);
    return logger;
}

/** Asks the rate limiter of the process whether a line of \p event may be written; see
 * log_rate_limiter::acquire. */
auto acquire_line(std::string_view event) -> std::optional<std::uint64_t>
{
    static std::mutex mutex;
    static log_rate_limiter limiter;
    const std::lock_guard lock(mutex);
    return limiter.acquire(event, monotonic_now());
}

} // namespace

auto name_of(log_level level) -> std::string_view
{
    return level_names.name(level);
}

auto parse_log_level(std::string_view name) -> result<log_level>
{
    if (const auto level = level_names.parse(name)) {
        return *level;
    }
    return failure(error_kind::invalid_input,
                   fmt::format("'{}' is not a log level; use debug, info, warning or error", name));
}

void set_log_level(log_level level)
{
    minimum_level = level;
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < minimum_level.load(std::memory_order_relaxed)) {
        return;
    }
    const auto suppressed = acquire_line(event);
    if (!suppressed) {
        return;
    }
    static const auto logger = make_logger();
    QJsonObject line;
    line.insert(QStringLiteral("time"),
                QDateTime::currentDateTimeUtc().toString(Qt::ISODateWithMs));
    line.insert(QStringLiteral("level"), to_qstring(name_of(level)));
    line.insert(QStringLiteral("event"), to_qstring(event));
    for (const auto& field : fields) {
        line.insert(to_qstring(field.name_), to_json_value(field));
    }
    if (*suppressed > 0) {
        line.insert(QStringLiteral("lines_left_out"), static_cast<qint64>(*suppressed));
    }
    logger->info(QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString());
}

} // namespace sycamorewinch
