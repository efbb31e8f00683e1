#include <cmath>
#include <optional>
#include <ostream>
#include <utility>

#include <QElapsedTimer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QThread>
#include <fmt/format.h>

#include "cli/command_list.h"

namespace sycamorewinch {

namespace {

constexpr const char* rollouts_path = "/v1/rollouts";
constexpr int http_ok = 200;
constexpr int http_conflict = 409;
constexpr unsigned long poll_interval_ms = 200;
constexpr double percent = 100;

auto real_of(const QJsonObject& object, const char* name) -> double
{
    return object.value(QLatin1String(name)).toDouble();
}

void print_step(command_context& context, const QJsonObject& step)
{
    context.out_ << fmt::format("  {:8.1f} s  {:<11}  {:3.0f} %  {}\n", real_of(step, "elapsed_s"),
                                text_of(step, "state"), real_of(step, "share") * percent,
                                text_of(step, "reason"));
}

void print_title(command_context& context, const QJsonObject& rollout)
{
    context.out_ << fmt::format("{} to version {}: {}, {:.0f} % of the calls, {:.1f} of {:.1f} s\n",
                                text_of(rollout, "service"), text_of(rollout, "version"),
                                text_of(rollout, "state"), real_of(rollout, "share") * percent,
                                real_of(rollout, "elapsed_s"), real_of(rollout, "duration_s"));
}

auto find_rollout(const QJsonObject& body, const std::string& service) -> std::optional<QJsonObject>
{
    for (const auto& value : body.value(QLatin1String("rollouts")).toArray()) {
        if (text_of(value.toObject(), "service") == service) {
            return value.toObject();
        }
    }
    return std::nullopt;
}

/** Prints the steps of \p rollout from number \p first on; returns the number of all steps. */
auto print_steps(command_context& context, const QJsonObject& rollout, qsizetype first) -> qsizetype
{
    const auto steps = rollout.value(QLatin1String("steps")).toArray();
    for (auto index = first; index < steps.size(); ++index) {
        if (context.json_) {
            print_json(context, steps.at(index).toObject());
        }
        else {
            print_step(context, steps.at(index).toObject());
        }
    }
    context.out_.flush();
    return steps.size();
}

} // namespace

auto start_rollout(command_context& context, const command_words& arguments) -> exit_status
{
    bool is_number = false;
    const auto seconds = QString::fromStdString(arguments.at(2)).toDouble(&is_number);
    if (!is_number || !std::isfinite(seconds) || seconds <= 0) {
        return fail(context, "the duration must be a number of seconds above 0",
                    exit_status::wrong_arguments);
    }
    const QJsonObject order{{"service", json_text(arguments.at(0))},
                            {"version", json_text(arguments.at(1))},
                            {"duration_s", seconds}};
    const auto response = context.client_.post(
        rollouts_path, QJsonDocument(order).toJson(QJsonDocument::Compact).toStdString());
    if (!response) {
        return fail(context, response.error().message_, exit_status::outcome_unknown);
    }
    if (response->status_ != http_ok) {
        return fail(context, text_of(response->body_, "message"),
                    response->status_ == http_conflict ? exit_status::conflict
                                                       : exit_status::failed);
    }
    if (context.json_) {
        print_json(context, response->body_);
    }
    else {
        context.out_ << fmt::format("the roll-out of {} to version {} is ordered\n",
                                    arguments.at(0), arguments.at(1));
    }
    return exit_status::done;
}

auto show_rollouts(command_context& context, const command_words&) -> exit_status
{
    const auto body = fetch(context, rollouts_path);
    if (!body) {
        return fail(context, body.error().message_);
    }
    if (context.json_) {
        print_json(context, *body);
        return exit_status::done;
    }
    const auto rollouts = body->value(QLatin1String("rollouts")).toArray();
    if (rollouts.isEmpty()) {
        context.out_ << "no roll-out was ever ordered\n";
    }
    for (const auto& value : rollouts) {
        print_title(context, value.toObject());
        print_steps(context, value.toObject(), 0);
    }
    return exit_status::done;
}

auto watch_rollout(command_context& context, const command_words& arguments) -> exit_status
{
    const auto& service = arguments.at(0);
    const auto timeout = std::chrono::milliseconds(context.options_.watch_timeout_).count();
    std::int64_t watched_id = -1;
    qsizetype printed_steps = 0;
    auto problem = fmt::format("there was no roll-out of the service {}", service);
    QElapsedTimer elapsed;
    elapsed.start();
    do {
        const auto body = fetch(context, rollouts_path);
        const auto rollout = body ? find_rollout(*body, service) : std::nullopt;
        if (rollout) {
            if (number_of(*rollout, "id") != std::exchange(watched_id, number_of(*rollout, "id"))) {
                printed_steps = 0;
                if (!context.json_) {
                    print_title(context, *rollout);
                }
            }
            printed_steps = print_steps(context, *rollout, printed_steps);
            const auto state = text_of(*rollout, "state");
            if (state == "completed") {
                return exit_status::done;
            }
            if (state == "rolled_back") {
                return fail(context, fmt::format("version {} was rolled back",
                                                 text_of(*rollout, "version")));
            }
            problem = fmt::format("the roll-out of {} is still running", service);
        }
        else if (!body) {
            problem = body.error().message_; // may be temporary, such as a leader election
        }
        QThread::msleep(poll_interval_ms);
    } while (elapsed.elapsed() < timeout);
    return fail(context, problem, exit_status::not_in_force);
}

} // namespace sycamorewinch
