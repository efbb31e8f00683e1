#include "soak/child_process.h"

#include <csignal>
#include <utility>

#include <QProcess>
#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr int start_timeout_ms = 5'000;
constexpr int exit_timeout_ms = 10'000;

} // namespace

child_process::child_process(child_command command)
    : command_(std::move(command)), process_(std::make_unique<QProcess>())
{
    process_->setProcessChannelMode(QProcess::MergedChannels);
    process_->setStandardOutputFile(QString::fromStdString(command_.log_file_), QIODevice::Append);
    auto environment = QProcess::systemEnvironment();
    for (const auto& variable : command_.environment_) {
        environment << QString::fromStdString(variable);
    }
    process_->setEnvironment(environment);
    QObject::connect(process_.get(), &QProcess::finished, process_.get(), [this] {
        is_terminating_ = false;
        if (std::exchange(restart_after_exit_, false)) {
            static_cast<void>(restart());
        }
    });
}

child_process::~child_process()
{
    process_->disconnect();
    kill();
}

auto child_process::start(child_command command) -> result<std::unique_ptr<child_process>>
{
    std::unique_ptr<child_process> child(new child_process(std::move(command)));
    if (auto started = child->restart(); !started) {
        return tl::unexpected(started.error());
    }
    return child;
}

auto child_process::restart() -> result<void>
{
    restart_after_exit_ = is_terminating_;
    if (is_running()) {
        return {};
    }
    QStringList arguments;
    for (const auto& argument : command_.arguments_) {
        arguments << QString::fromStdString(argument);
    }
    process_->start(QString::fromStdString(command_.program_), arguments);
    if (!process_->waitForStarted(start_timeout_ms)) {
        return failure(error_kind::unavailable,
                       fmt::format("{} did not start: {}", command_.program_,
                                   process_->errorString().toStdString()));
    }
    return {};
}

auto child_process::is_running() const -> bool
{
    return process_->state() != QProcess::NotRunning;
}

auto child_process::process_id() const -> std::int64_t
{
    return process_->processId();
}

void child_process::signal(int number) const
{
    if (process_->processId() > 0) {
        ::kill(static_cast<pid_t>(process_->processId()), number);
    }
}

void child_process::pause()
{
    signal(SIGSTOP);
}

void child_process::resume()
{
    signal(SIGCONT);
}

void child_process::terminate()
{
    is_terminating_ = is_running();
    resume();
    signal(SIGTERM);
}

void child_process::kill()
{
    restart_after_exit_ = false;
    if (is_running()) {
        signal(SIGKILL);
        process_->waitForFinished(exit_timeout_ms);
    }
}

} // namespace sycamorewinch
