#include <ostream>

#include <QJsonArray>
#include <fmt/core.h>

#include "cli/command_list.h"

namespace sycamorewinch {

namespace {

constexpr int http_ok = 200;

auto read_status(command_context& context, const std::string& address) -> QJsonObject
{
    const auto answer = context.client_.get_at(address, "/v1/status");
    QJsonObject status{{"address", json_text(address)}};
    if (!answer) {
        status.insert("problem", json_text(answer.error().message_));
        return status;
    }
    if (answer->status_ != http_ok) {
        status.insert("problem", json_text(text_of(answer->body_, "message")));
        return status;
    }
    for (const auto& name : answer->body_.keys()) {
        status.insert(name, answer->body_.value(name));
    }
    return status;
}

void print_status(command_context& context, const QJsonObject& status)
{
    const auto address = text_of(status, "address");
    if (status.contains(QLatin1String("problem"))) {
        context.out_ << fmt::format("{}: no answer: {}\n", address, text_of(status, "problem"));
        return;
    }
    const auto version = status.value(QLatin1String("version")).toObject();
    context.out_ << fmt::format("{}: {} is {}, leader {}, term {}, version {}\n", address,
                                text_of(status, "name"), text_of(status, "role"),
                                text_of(status, "leader"), number_of(status, "term"),
                                number_of(version, "number"));
}

} // namespace

auto show_status(command_context& context, const command_words&) -> exit_status
{
    QJsonArray replicas;
    bool some_answered = false;
    for (const auto& address : context.client_.options().addresses_) {
        const auto status = read_status(context, address);
        some_answered = some_answered || !status.contains(QLatin1String("problem"));
        if (!context.json_) {
            print_status(context, status);
        }
        replicas.append(status);
    }
    if (context.json_) {
        print_json(context, {{"replicas", replicas}});
    }
    return some_answered ? exit_status::done : fail(context, "no control replica answers");
}

auto show_targets(command_context& context, const command_words&) -> exit_status
{
    const auto answer = fetch(context, "/v1/targets");
    if (!answer) {
        return fail(context, answer.error().message_);
    }
    if (context.json_) {
        print_json(context, *answer);
        return exit_status::done;
    }
    for (const auto& value : answer->value(QLatin1String("targets")).toArray()) {
        const auto target = value.toObject();
        context.out_ << fmt::format("{}/{} in {} at {}: {}\n", text_of(target, "service"),
                                    text_of(target, "target"), text_of(target, "zone"),
                                    text_of(target, "node"), text_of(target, "state"));
    }
    return exit_status::done;
}

} // namespace sycamorewinch
