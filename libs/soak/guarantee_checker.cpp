#include "soak/guarantee_checker.h"

#include <algorithm>

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr unsigned ok_status = 200;
constexpr unsigned gateway_timeout_status = 504;

} // namespace

void guarantee_checker::record_call_start(const sent_call& call)
{
    ++counts_.calls_;
    auto& call_state = calls_[call.key_];
    call_state.is_repeatable_ = call.is_repeatable_;
    call_state.time_allowed_ = call.time_allowed_;
}

void guarantee_checker::record_call_end(const call_record& call, caller_path path)
{
    auto& call_state = calls_[call.key_];
    call_state.is_refused_not_run_ = call.outcome_ == "not-run";
    call_state.is_dropped_ = call.status_ == 0 && path == caller_path::worked;
    check_response(call);
    if (call.status_ == ok_status) {
        ++counts_.answered_;
    }
    else if (call_state.is_refused_not_run_) {
        ++counts_.refused_not_run_;
    }
    else {
        ++counts_.unknown_;
    }
}

void guarantee_checker::check_response(const call_record& call)
{
    if (call.status_ == ok_status && call.body_.find("/" + call.key_ + " ") == std::string::npos) {
        violations_.push_back(
            fmt::format("call {} got the wrong response '{}'", call.key_, call.body_));
    }
    if (call.status_ != gateway_timeout_status) {
        return;
    }
    ++counts_.timed_out_;
    const auto time_allowed = calls_[call.key_].time_allowed_;
    if (call.response_time_ < time_allowed) {
        violations_.push_back(fmt::format("call {} got 504 after {} us of the {} ms it was given",
                                          call.key_, call.response_time_.count(),
                                          time_allowed.count()));
    }
}

void guarantee_checker::record_run(const std::string& key)
{
    ++counts_.runs_;
    ++runs_[key];
}

void guarantee_checker::record_version(const std::string& node, std::uint64_t version)
{
    ++counts_.versions_seen_;
    auto& previous = versions_[node];
    if (version < previous) {
        violations_.push_back(
            fmt::format("{} went from version {} to {}", node, previous, version));
    }
    previous = std::max(previous, version);
}

void guarantee_checker::record_accepted_edit(const std::string& edit, std::uint64_t version)
{
    ++counts_.edits_accepted_;
    const auto [found, is_first] = accepted_.emplace(version, edit);
    if (!is_first && found->second != edit) {
        violations_.push_back(fmt::format("edits {} and {} were both accepted as version {}",
                                          found->second, edit, version));
    }
}

void guarantee_checker::record_final_version(std::uint64_t version)
{
    final_version_ = version;
}

auto guarantee_checker::newest_accepted() const -> std::uint64_t
{
    return accepted_.empty() ? 0 : accepted_.rbegin()->first;
}

auto guarantee_checker::violations() const -> std::vector<std::string>
{
    auto violations = violations_;
    for (const auto& [key, count] : runs_) {
        const auto call = calls_.find(key);
        if (call == calls_.end()) {
            violations.push_back(fmt::format("a target ran call {}, which no caller sent", key));
            continue;
        }
        if (count > 1 && !call->second.is_repeatable_) {
            violations.push_back(
                fmt::format("call {} is not repeatable but ran {} times", key, count));
        }
        if (call->second.is_refused_not_run_) {
            violations.push_back(
                fmt::format("call {} was refused as not run, but a target ran it", key));
        }
        if (call->second.is_dropped_) {
            violations.push_back(
                fmt::format("a target ran call {}, but its node ended it without a response", key));
        }
    }
    if (final_version_ < newest_accepted()) {
        violations.push_back(
            fmt::format("version {} was accepted, but the table read at the end has version {}",
                        newest_accepted(), final_version_));
    }
    return violations;
}

auto guarantee_checker::counts() const -> observation_counts
{
    return counts_;
}

} // namespace sycamorewinch
