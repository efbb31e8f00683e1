#include "daemon/rollout_measurement.h"

namespace sycamorewinch {

namespace {

auto running_services(const rollout_set& rollouts) -> std::vector<std::string>
{
    std::vector<std::string> services;
    for (const auto& rollout : rollouts.rollouts_) {
        if (rollout.state_ == rollout_state::running) {
            services.push_back(rollout.service_);
        }
    }
    return services;
}

} // namespace

auto rollout_measurement::set_rollouts(rollouts_pointer rollouts) -> bool
{
    const auto before = running_services(*rollouts_);
    rollouts_ = std::move(rollouts);
    std::erase_if(meters_,
                  [this](const auto& each) { return !is_running(std::get<0>(each.first)); });
    return before != running_services(*rollouts_);
}

auto rollout_measurement::changed_rollouts(const rollout_set& next) const -> std::vector<rollout>
{
    std::vector<rollout> changed;
    for (const auto& rollout : next.rollouts_) {
        const auto* known = rollouts_->find(rollout.service_);
        if (known == nullptr || *known != rollout) {
            changed.push_back(rollout);
        }
    }
    return changed;
}

auto rollout_measurement::is_running(const std::string& service) const -> bool
{
    const auto* rollout = rollouts_->find(service);
    return rollout != nullptr && rollout->state_ == rollout_state::running;
}

auto rollout_measurement::meter_of(const target_record& record) -> std::shared_ptr<version_meter>
{
    if (!is_running(record.service_)) {
        return nullptr;
    }
    auto& meter = meters_[{record.service_, record.target_, record.software_version_}];
    if (!meter) {
        meter = std::make_shared<version_meter>();
    }
    return meter;
}

auto rollout_measurement::make_report(const std::vector<local_target_load>& targets)
    -> version_report
{
    version_report report;
    for (const auto& [key, meter] : meters_) {
        const auto& [service, target, version] = key;
        auto samples = meter->take_samples();
        for (auto& sample : samples) {
            sample.service_ = service;
            sample.version_ = version;
        }
        merge_report(report, {std::move(samples), {}});
    }
    for (const auto& [record, in_flight] : targets) {
        const bool is_present = record.state_ != target_state::gone || in_flight > 0;
        if (is_present && is_running(record.service_)) {
            merge_report(report, {{}, {{record.service_, record.software_version_, in_flight, 1}}});
        }
    }
    return report;
}

} // namespace sycamorewinch
