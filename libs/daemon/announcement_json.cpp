#include "daemon/announcement_json.h"

namespace sycamorewinch {

namespace {

constexpr int default_lease_ms = 5'000;
constexpr int max_lease_ms = 600'000;
constexpr int max_slots = 100'000;

auto string_field(const QJsonObject& object, const char* name) -> std::string
{
    return object.value(QLatin1String(name)).toString().toStdString();
}

} // namespace

auto read_announcement(const QJsonObject& object) -> result<target_announcement>
{
    target_announcement announcement;
    announcement.service_ = string_field(object, "service");
    announcement.target_ = string_field(object, "target");
    if (announcement.service_.empty() || announcement.target_.empty()) {
        return failure(error_kind::invalid_input,
                       "an announcement requires 'service' and 'target'");
    }
    const auto address = parse_peer_address(string_field(object, "address"));
    if (!address) {
        return tl::unexpected(address.error());
    }
    announcement.address_ = *address;
    const auto slots = object.value(QLatin1String("slots")).toInt();
    const auto lease = object.value(QLatin1String("lease_ms")).toInt(default_lease_ms);
    if (slots < 1 || slots > max_slots || lease < 1 || lease > max_lease_ms) {
        return failure(error_kind::invalid_input,
                       "'slots' must be from 1 to 100000 and 'lease_ms' from 1 to 600000");
    }
    announcement.slots_ = static_cast<std::uint32_t>(slots);
    announcement.lease_ = std::chrono::milliseconds(lease);
    announcement.cold_start_ =
        std::chrono::milliseconds(object.value(QLatin1String("cold_start_ms")).toInt(0));
    const auto started = object.value(QLatin1String("started")).toInteger(0);
    if (started < 0) {
        return failure(error_kind::invalid_input, "'started' must not be negative");
    }
    announcement.started_ = static_cast<std::uint64_t>(started);
    announcement.software_version_ = string_field(object, "version");
    announcement.draining_ = object.value(QLatin1String("draining")).toBool(false);
    if (auto problem = announcement_problem(announcement); !problem.empty()) {
        return failure(error_kind::invalid_input, std::move(problem));
    }
    return announcement;
}

} // namespace sycamorewinch
