#include "cli/target_list.h"

#include <QJsonArray>

namespace sycamorewinch {

auto fetch_targets(command_context& context) -> result<std::vector<known_target>>
{
    return fetch(context, "/v1/targets").map([](const QJsonObject& response) {
        std::vector<known_target> targets;
        for (const auto& value : response.value(QLatin1String("targets")).toArray()) {
            const auto target = value.toObject();
            if (text_of(target, "state") != "gone") {
                targets.push_back({text_of(target, "service"), text_of(target, "target"),
                                   text_of(target, "node"), text_of(target, "admin")});
            }
        }
        return targets;
    });
}

} // namespace sycamorewinch
