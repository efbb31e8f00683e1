/** \file
 * The daemon: reads its settings, starts its role, reads the settings again on SIGHUP, and ends on
 * SIGTERM or SIGINT.
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

constexpr int exit_wrong_settings = 2;
constexpr int exit_cannot_start = 1;

std::array<int, 2> signal_sockets{-1, -1};

// Only writes a byte: the event loop does the rest.
void on_signal(int number)
{
    const auto byte = static_cast<char>(number);
    [[maybe_unused]] const auto written = ::write(signal_sockets[0], &byte, 1);
}

/** Calls \p handler in the event loop for each signal. */
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
    std::signal(SIGHUP, on_signal);
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    return notifier;
}

auto interfaces_of(const daemon_settings& settings) -> external_interfaces
{
    return settings.interface_ == outer_interface::platform ? platform::make_interfaces(settings)
                                                            : external_interfaces();
}

auto run(const daemon_settings& settings, const std::vector<std::string>& arguments) -> int
{
    const auto secrets = read_secrets(settings);
    if (!secrets) {
        std::cerr << secrets.error().message_ << '\n';
        return exit_wrong_settings;
    }
    auto role = start_role(settings, *secrets, interfaces_of(settings));
    if (!role) {
        std::cerr << role.error().message_ << '\n';
        return exit_cannot_start;
    }
    log_event(log_level::info, "started",
              {{"role", name_of(settings.role_)},
               {"name", settings.name_},
               {"zone", settings.availability_zone_}});
    settings_watcher watch(arguments, process_environment(),
                           [&role](const auto& changed) { role->reload_(changed); });
    bool asked = false;
    const auto notifier = watch_signals([&role, &asked, &watch](int number) {
        if (number == SIGHUP) {
            watch.check();
            return;
        }
        if (asked) {
            QCoreApplication::quit(); // the second signal ends at once
            return;
        }
        asked = true;
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
    qputenv("QT_NO_GLIB", "1"); // Qt's own event loop takes fewer system calls a turn
    const QCoreApplication application(argc, argv);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto parsed = parse_daemon_settings(arguments, process_environment());
    if (!parsed) {
        std::cerr << parsed.error().message_ << '\n';
        return exit_wrong_settings;
    }
    if (parsed->action_ == settings_action::run || parsed->action_ == settings_action::check_only) {
        for (const auto& name : unknown_variables(process_variables())) {
            log_event(log_level::warning, "unknown_variable", {{"name", name}});
        }
        if (const auto checked = check_setting_files(parsed->settings_); !checked) {
            std::cerr << checked.error().message_ << '\n';
            return exit_wrong_settings;
        }
    }
    switch (parsed->action_) {
    case settings_action::show_help:
        std::cout << "sycamorewinchd: one process of the system\n\n" << parsed->help_;
        return 0;
    case settings_action::show_version:
        std::cout << "sycamorewinchd 0.1.0\n";
        return 0;
    case settings_action::check_only:
        std::cout << "the settings are good\n";
        return 0;
    case settings_action::run:
        break;
    }
    set_log_level(parsed->settings_.log_level_);
    return run(parsed->settings_, arguments);
}
