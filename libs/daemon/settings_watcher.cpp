#include "daemon/settings_watcher.h"

#include "observability/log.h"

namespace sycamorewinch {

namespace {

/** Polled, since the file may change without a signal to the process. */
constexpr auto check_period = std::chrono::milliseconds(1'000);

} // namespace

settings_watcher::settings_watcher(std::vector<std::string> arguments,
                                   environment_lookup environment,
                                   std::function<void(const daemon_settings& settings)> on_change)
    : arguments_(std::move(arguments)), environment_(std::move(environment)),
      on_change_(std::move(on_change)),
      last_text_(read_settings_file(arguments_, environment_).value_or(std::string()))
{
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { check(); });
    if (!last_text_.empty()) {
        timer_.start(check_period);
    }
}

void settings_watcher::check()
{
    auto text = read_settings_file(arguments_, environment_);
    if (!text) {
        log_event(log_level::warning, "settings_unreadable", {{"reason", text.error().message_}});
        return;
    }
    if (*text == last_text_) {
        return;
    }
    last_text_ = std::move(*text);
    const auto parsed = parse_daemon_settings(arguments_, environment_);
    if (!parsed) {
        log_event(log_level::error, "settings_refused", {{"reason", parsed.error().message_}});
        return;
    }
    log_event(log_level::info, "settings_reloaded");
    set_log_level(parsed->settings_.log_level_);
    on_change_(parsed->settings_);
}

} // namespace sycamorewinch
