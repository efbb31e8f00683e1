/** \file
 * Structured logs: one JSON object per line on standard output. Each event has a rate limit
 * (observability/log_rate_limiter.h), and writing never blocks (observability/nonblocking_sink.h).
 *
 * \code
 * log_event(log_level::info, "table_in_force", {{"version", version}, {"zone", zone}});
 * // {"event":"table_in_force","level":"info","time":"2026-...","version":7,"zone":"a"}
 * \endcode
 */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"

namespace sycamorewinch {

/** Severity of a log line, in rising order. */
enum class log_level : std::uint8_t { debug, info, warning, error };

/** A named value in a log line. */
struct log_field {
    log_field(std::string_view name, std::string_view value)
        : name_(name), value_(std::string(value))
    {
    }
    log_field(std::string_view name, const std::string& value) : name_(name), value_(value) {}
    log_field(std::string_view name, const char* value) : name_(name), value_(std::string(value)) {}
    log_field(std::string_view name, bool value) : name_(name), value_(value) {}
    log_field(std::string_view name, double value) : name_(name), value_(value) {}
    template <std::integral Integer>
    requires(!std::same_as<Integer, bool>) log_field(std::string_view name, Integer value)
        : name_(name), value_(static_cast<std::int64_t>(value))
    {
    }

    std::string_view name_;
    std::variant<std::string, std::int64_t, double, bool> value_;
};

/** Returns the name of \p level as it appears in a line and in the `--log-level` setting. */
[[nodiscard]] auto name_of(log_level level) -> std::string_view;

/** Returns the level called \p name, or an error that lists the names allowed. */
[[nodiscard]] auto parse_log_level(std::string_view name) -> result<log_level>;

/** Sets the minimum level of the process: lines below \p level are dropped. Thread-safe. */
void set_log_level(log_level level);

/** Writes one line with \p fields, unless its level is below the minimum or the rate limit of
 * \p event suppresses it. Thread-safe; never blocks on the reader of the log. */
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace sycamorewinch
