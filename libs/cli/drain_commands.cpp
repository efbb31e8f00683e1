#include <algorithm>
#include <ostream>

#include <QJsonArray>
#include <QJsonDocument>
#include <fmt/core.h>

#include "cli/command_list.h"
#include "cli/target_list.h"

namespace sycamorewinch {

namespace {

constexpr int http_ok = 200;

/** Posts a request to start or end a drain to the admin address of a node and prints the targets
 * that changed. */
auto send_drain_request(command_context& context, const std::string& admin,
                        const QJsonObject& request) -> exit_status
{
    const auto body = QJsonDocument(request).toJson(QJsonDocument::Compact).toStdString();
    const auto response = context.client_.post_at(admin, "/v1/drain", body);
    if (!response) {
        return fail(context, response.error().message_);
    }
    if (response->status_ != http_ok) {
        return fail(context, text_of(response->body_, "message"));
    }
    if (context.json_) {
        print_json(context, response->body_);
        return exit_status::done;
    }
    const auto changed = response->body_.value(QLatin1String("changed")).toArray();
    if (changed.isEmpty()) {
        context.out_ << "no target changed its state\n";
    }
    for (const auto& value : changed) {
        const auto target = value.toObject();
        context.out_ << fmt::format("{}/{}: {}\n", text_of(target, "service"),
                                    text_of(target, "target"), text_of(target, "state"));
    }
    return exit_status::done;
}

auto set_target_draining(command_context& context, const command_words& arguments, bool draining)
    -> exit_status
{
    const auto targets = fetch_targets(context);
    if (!targets) {
        return fail(context, targets.error().message_);
    }
    const auto found = std::ranges::find_if(*targets, [&](const known_target& target) {
        return target.service_ == arguments[0] && target.target_ == arguments[1];
    });
    if (found == targets->end()) {
        return fail(context, fmt::format("target {}/{} is not known; see 'targets'", arguments[0],
                                         arguments[1]));
    }
    return send_drain_request(context, found->admin_,
                              {{"service", json_text(arguments[0])},
                               {"target", json_text(arguments[1])},
                               {"draining", draining}});
}

auto set_node_draining(command_context& context, const std::string& name_or_admin_address,
                       bool draining) -> exit_status
{
    const auto targets = fetch_targets(context);
    if (!targets) {
        return fail(context, targets.error().message_);
    }
    const auto found =
        std::ranges::find_if(*targets, [&name_or_admin_address](const known_target& target) {
            return target.node_ == name_or_admin_address || target.admin_ == name_or_admin_address;
        });
    if (found == targets->end()) {
        return fail(context, fmt::format("no node has the name or admin address {}; see 'targets'",
                                         name_or_admin_address));
    }
    return send_drain_request(context, found->admin_, {{"draining", draining}});
}

} // namespace

auto drain_target(command_context& context, const command_words& arguments) -> exit_status
{
    return set_target_draining(context, arguments, true);
}

auto undrain_target(command_context& context, const command_words& arguments) -> exit_status
{
    return set_target_draining(context, arguments, false);
}

auto drain_node(command_context& context, const command_words& arguments) -> exit_status
{
    return set_node_draining(context, arguments[0], true);
}

auto undrain_node(command_context& context, const command_words& arguments) -> exit_status
{
    return set_node_draining(context, arguments[0], false);
}

} // namespace sycamorewinch
