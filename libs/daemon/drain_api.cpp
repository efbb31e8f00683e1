#include "daemon/drain_api.h"

#include "daemon/operator_json.h"

namespace sycamorewinch {

namespace {

auto drain(target_registry& registry, const QJsonObject& request)
    -> result<std::vector<target_record>>
{
    const auto draining = request.value(QLatin1String("draining"));
    if (!draining.isBool()) {
        return failure(error_kind::invalid_input, "'draining' must be true or false");
    }
    const auto service = request.value(QLatin1String("service")).toString().toStdString();
    const auto target = request.value(QLatin1String("target")).toString().toStdString();
    if (service.empty() != target.empty()) {
        return failure(error_kind::invalid_input,
                       "give both 'service' and 'target', or neither to drain the whole node");
    }
    if (service.empty()) {
        return registry.drain_node(draining.toBool());
    }
    return registry.drain_target(service, target, draining.toBool());
}

} // namespace

void add_drain_api(admin_server& server, target_registry& registry, drain_hook on_changed)
{
    server.handle(QHttpServerRequest::Method::Post, "/v1/drain", admin_access::operators,
                  [&registry, on_changed = std::move(on_changed)](const auto& request) {
                      const auto changed = read_json(request).and_then(
                          [&](const QJsonObject& body) { return drain(registry, body); });
                      if (!changed) {
                          return error_response(changed.error());
                      }
                      if (!changed->empty()) {
                          on_changed(*changed);
                      }
                      QJsonArray records;
                      for (const auto& record : *changed) {
                          records.append(to_json(record));
                      }
                      return json_response({{"changed", records}});
                  });
}

} // namespace sycamorewinch
