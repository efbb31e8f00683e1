/** \file
 * The daemon: reads its settings, starts its role, reloads the settings on SIGHUP, and shuts down
 * gracefully on SIGTERM or SIGINT; a second one ends the process at once.
 */
#include <csignal>
#include <iostream>

#include <sys/socket.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QSocketNotifier>

#include "daemon/daemon_role.h"
#include "daemon/settings_watcher.h"
#include "platform/platform_interface.h"
#include "settings/settings_files.h"

namespace {

using namespace sycamorewinch;

constexpr int exit_invalid_settings = 2;
constexpr int exit_start_failed = 1;

std::array<int, 2> signal_sockets{-1, -1};

// Async-signal-safe: only writes the signal number to a socket that the event loop reads.
void handle_signal(int number)
{
    const auto byte = static_cast<char>(number);
    [[maybe_unused]] const auto written = ::write(signal_sockets[0], &byte, 1);
}

/** Calls \p handler in the event loop for each SIGHUP, SIGTERM and SIGINT. Returns null when the
 * socket pair cannot be created. */
auto watch_signals(const std::function<void(int number)>& handler)
    -> std::unique_ptr<QSocketNotifier>
{
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, signal_sockets.data()) != 0) {
        return nullptr;
    }
    auto notifier = std::make_unique<QSocketNotifier>(signal_sockets[1], QSocketNotifier::Read);
    QObject::connect(notifier.get(), &QSocketNotifier::activated, notifier.get(), [handler] {
        char byte = 0;
        if (::read(signal_sockets[1], &byte, 1) == 1) {
            handler(byte);
        }
    });
    std::signal(SIGHUP, handle_signal);
    std::signal(SIGTERM, handle_signal);
    std::signal(SIGINT, handle_signal);
    return notifier;
}

auto make_external_interfaces(const daemon_settings& settings) -> external_interfaces
{
    return settings.interface_ == external_interface_kind::platform
               ? platform::make_interfaces(settings)
               : external_interfaces();
}

auto run(const daemon_settings& settings, const std::vector<std::string>& arguments) -> int
{
    const auto secrets = read_secrets(settings);
    if (!secrets) {
        std::cerr << secrets.error().message_ << '\n';
        return exit_invalid_settings;
    }
    auto role = start_role(settings, *secrets, make_external_interfaces(settings));
    if (!role) {
        std::cerr << role.error().message_ << '\n';
        return exit_start_failed;
    }
    log_event(log_level::info, "started",
              {{"role", name_of(settings.role_)},
               {"name", settings.name_},
               {"zone", settings.availability_zone_},
               {"sources", SYCAMOREWINCH_SOURCE_DIGEST}});
    settings_watcher watcher(arguments, process_environment(),
                             [&role](const auto& changed) { role->reload_(changed); });
    bool shutdown_requested = false;
    const auto notifier = watch_signals([&role, &shutdown_requested, &watcher](int number) {
        if (number == SIGHUP) {
            watcher.check();
            return;
        }
        if (shutdown_requested) {
            QCoreApplication::quit(); // a second signal ends the process at once
            return;
        }
        shutdown_requested = true;
        log_event(log_level::info, "shutting_down");
        role->shut_down_([] { QCoreApplication::quit(); });
    });
    const auto status = QCoreApplication::exec();
    log_event(log_level::info, "ended");
    return status;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    // Qt's own event loop makes fewer system calls per iteration than GLib's.
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto parsed = parse_daemon_settings(arguments, process_environment());
    if (!parsed) {
        std::cerr << parsed.error().message_ << '\n';
        return exit_invalid_settings;
    }
    if (parsed->action_ == settings_action::run || parsed->action_ == settings_action::check_only) {
        const bool is_on_platform =
            parsed->settings_.interface_ == external_interface_kind::platform;
        for (const auto& name : find_unknown_variables(environment_variable_names())) {
            if (is_on_platform && platform::is_platform_variable(name)) {
                continue;
            }
            log_event(log_level::warning, "unknown_variable", {{"name", name}});
        }
        if (const auto checked = check_setting_files(parsed->settings_); !checked) {
            std::cerr << checked.error().message_ << '\n';
            return exit_invalid_settings;
        }
    }
    switch (parsed->action_) {
    case settings_action::show_help:
        std::cout << "sycamorewinchd: the daemon, in the role control, relay or node\n\n"
                  << parsed->help_;
        return 0;
    case settings_action::show_version:
        std::cout << "sycamorewinchd 0.1.0, sources " SYCAMOREWINCH_SOURCE_DIGEST "\n";
        return 0;
    case settings_action::check_only:
        std::cout << "the settings are valid\n";
        return 0;
    case settings_action::run:
        break;
    }
    set_log_level(parsed->settings_.log_level_);
    return run(parsed->settings_, arguments);
}
