#include "standin/stated_load.h"

#include <fmt/core.h>

namespace sycamorewinch {

auto stated_load::response_fields(instant now) -> header_list
{
    header_list fields;
    if (options_.max_rate_) {
        rate_stated_ = rate_stated_.value_or(now);
        fields.push_back({"sycamorewinch-target-limit", fmt::format("{}", *options_.max_rate_)});
    }
    if (options_.leave_after_ && now - started_ >= *options_.leave_after_) {
        leave_stated_ = leave_stated_.value_or(now);
        fields.push_back({"sycamorewinch-target-leaving", "1"});
    }
    return fields;
}

auto stated_load::on_request(instant now) -> std::optional<std::string>
{
    on_tick(now);
    if (leave_stated_ && now - *leave_stated_ > leave_grace) {
        return fmt::format("a target that is leaving got a request {} ms after it said so",
                           to_milliseconds(now - *leave_stated_));
    }
    if (!rate_stated_ || now - *rate_stated_ < rate_grace) {
        return std::nullopt;
    }
    requests_.push_back(now);
    while (now - requests_.front() >= window) {
        requests_.pop_front();
    }
    const auto allowed =
        rate_tolerance * *options_.max_rate_ * to_seconds(window) + request_tolerance;
    if (static_cast<double>(requests_.size()) <= allowed) {
        return std::nullopt;
    }
    return fmt::format("a target that states {} requests per second got {} in 4 s; {} are allowed",
                       *options_.max_rate_, requests_.size(), allowed);
}

void stated_load::on_tick(instant now)
{
    if (now - last_tick_ > max_tick_gap) {
        requests_.clear();
    }
    last_tick_ = now;
}

} // namespace sycamorewinch
