#include <ostream>

#include <QJsonArray>
#include <fmt/core.h>

#include "cli/command_list.h"

namespace sycamorewinch {

namespace {

constexpr int http_ok = 200;

auto fetch_status(command_context& context, const std::string& address) -> QJsonObject
{
    const auto response = context.client_.get_at(address, "/v1/status");
    QJsonObject status{{"address", json_text(address)}};
    if (!response) {
        status.insert("problem", json_text(response.error().message_));
        return status;
    }
    if (response->status_ != http_ok) {
        status.insert("problem", json_text(text_of(response->body_, "message")));
        return status;
    }
    for (const auto& name : response->body_.keys()) {
        status.insert(name, response->body_.value(name));
    }
    return status;
}

void print_status(command_context& context, const QJsonObject& status)
{
    const auto address = text_of(status, "address");
    if (status.contains(QLatin1String("problem"))) {
        context.out_ << fmt::format("{}: status not available: {}\n", address,
                                    text_of(status, "problem"));
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
    bool has_any_response = false;
    for (const auto& address : context.client_.options().addresses_) {
        const auto status = fetch_status(context, address);
        has_any_response = has_any_response || !status.contains(QLatin1String("problem"));
        if (!context.json_) {
            print_status(context, status);
        }
        replicas.append(status);
    }
    if (context.json_) {
        print_json(context, {{"replicas", replicas}});
    }
    return has_any_response ? exit_status::done
                            : fail(context, "no control replica returned its status");
}

auto show_targets(command_context& context, const command_words&) -> exit_status
{
    const auto response = fetch(context, "/v1/targets");
    if (!response) {
        return fail(context, response.error().message_);
    }
    if (context.json_) {
        print_json(context, *response);
        return exit_status::done;
    }
    for (const auto& value : response->value(QLatin1String("targets")).toArray()) {
        const auto target = value.toObject();
        context.out_ << fmt::format("{}/{} in {} at {}: {}\n", text_of(target, "service"),
                                    text_of(target, "target"), text_of(target, "zone"),
                                    text_of(target, "node"), text_of(target, "state"));
    }
    return exit_status::done;
}

auto show_organisations(command_context& context, const command_words&) -> exit_status
{
    const auto response = fetch(context, "/v1/organisations");
    if (!response) {
        return fail(context, response.error().message_);
    }
    if (context.json_) {
        print_json(context, *response);
        return exit_status::done;
    }
    for (const auto& value : response->value(QLatin1String("organisations")).toArray()) {
        const auto organisation = value.toObject();
        const auto rate = organisation.value(QLatin1String("per_second"));
        const auto quota = rate.isDouble() ? fmt::format("{}/s, burst {}", rate.toDouble(),
                                                         number_of(organisation, "burst"))
                                           : std::string("no quota");
        const auto priority = organisation.contains(QLatin1String("priority"))
                                  ? fmt::format("{}", number_of(organisation, "priority"))
                                  : std::string("of the row");
        context.out_ << fmt::format("{}: {} keys, {}, priority {}\n", text_of(organisation, "name"),
                                    number_of(organisation, "keys"), quota, priority);
    }
    return exit_status::done;
}

} // namespace sycamorewinch
