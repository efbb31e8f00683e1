#include "soak/promise_book.h"

#include <algorithm>

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr unsigned ok_status = 200;

} // namespace

void promise_book::note_begin(const std::string& key, bool is_repeatable)
{
    ++counts_.calls_;
    calls_[key].is_repeatable_ = is_repeatable;
}

void promise_book::note_end(const call_record& call)
{
    auto& account = calls_[call.key_];
    account.is_refused_not_run_ = call.outcome_ == "not-run";
    if (call.status_ == ok_status) {
        ++counts_.answered_;
        if (call.body_.find("/" + call.key_ + " ") == std::string::npos) {
            broken_.push_back(fmt::format("call {} got the answer '{}'", call.key_, call.body_));
        }
    }
    else if (account.is_refused_not_run_) {
        ++counts_.refused_not_run_;
    }
    else {
        ++counts_.unknown_;
    }
}

void promise_book::note_run(const std::string& key)
{
    ++counts_.runs_;
    ++runs_[key];
}

void promise_book::note_version(const std::string& node, std::uint64_t version)
{
    ++counts_.versions_seen_;
    auto& before = versions_[node];
    if (version < before) {
        broken_.push_back(fmt::format("{} went from version {} to {}", node, before, version));
    }
    before = std::max(before, version);
}

void promise_book::note_accepted(const std::string& edit, std::uint64_t version)
{
    ++counts_.edits_accepted_;
    const auto [found, is_first] = accepted_.emplace(version, edit);
    if (!is_first && found->second != edit) {
        broken_.push_back(fmt::format("edits {} and {} were both accepted as version {}",
                                      found->second, edit, version));
    }
}

void promise_book::note_last_read(std::uint64_t version)
{
    last_read_ = version;
}

auto promise_book::newest_accepted() const -> std::uint64_t
{
    return accepted_.empty() ? 0 : accepted_.rbegin()->first;
}

auto promise_book::broken() const -> std::vector<std::string>
{
    auto broken = broken_;
    for (const auto& [key, count] : runs_) {
        const auto call = calls_.find(key);
        if (call == calls_.end()) {
            broken.push_back(fmt::format("a target ran {}, which nobody sent", key));
            continue;
        }
        if (count > 1 && !call->second.is_repeatable_) {
            broken.push_back(fmt::format("{} may not be repeated and ran {} times", key, count));
        }
        if (call->second.is_refused_not_run_) {
            broken.push_back(fmt::format("{} was refused as not run, and ran", key));
        }
    }
    if (last_read_ < newest_accepted()) {
        broken.push_back(fmt::format("version {} was accepted, and {} is read at the end",
                                     newest_accepted(), last_read_));
    }
    return broken;
}

auto promise_book::counts() const -> promise_counts
{
    return counts_;
}

} // namespace sycamorewinch
