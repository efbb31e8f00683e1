#include "load.h"

#include <algorithm>
#include <map>

#include "deployment.h"

namespace review {

void load::send(const std::string& label, const address& to, request what, milliseconds patience)
{
    const auto id = make_id();
    what.fields_.emplace_back("X-Request-Id", id);
    what.fields_.emplace_back("X-Deadline-Ms", std::to_string(patience.count()));
    threads_.emplace_back([this, label, to, id, what = std::move(what), patience] {
        const auto sent = clock::now();
        record_.line("client sends " + id + " " + what.method_ + " " + what.path_ + " to " +
                     to.text() + ", body " + std::to_string(what.body_.size()));
        auto answer = exchange(to, what, patience + milliseconds(200));
        record_.line("client gets " + id + " " + std::to_string(answer.status_) + " " +
                     name_of(answer.ending_) + " after " + std::to_string(answer.elapsed_.count()) +
                     " ms");
        answer.body_.clear();
        const std::lock_guard guard(mutex_);
        ended_.push_back({id, label, sent, std::move(answer)});
    });
}

void load::repeat(double per_second, milliseconds time, const std::function<void()>& step)
{
    const auto start = clock::now();
    const auto interval = std::chrono::duration<double>(1 / per_second);
    for (int count = 0;; ++count) {
        const auto due = start + std::chrono::duration_cast<clock::duration>(
                                     interval * static_cast<double>(count));
        if (due >= start + time) {
            return;
        }
        std::this_thread::sleep_until(due);
        step();
    }
}

void load::wait()
{
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

auto load::between(const std::string& label, clock::time_point from, clock::time_point to)
    -> std::vector<sent_request>
{
    const std::lock_guard guard(mutex_);
    std::vector<sent_request> found;
    std::ranges::copy_if(ended_, std::back_inserter(found), [&](const auto& each) {
        return each.label_ == label && each.sent_ >= from && each.sent_ < to;
    });
    return found;
}

auto count_served(const std::vector<sent_request>& requests) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(requests, [](const auto& each) {
        return each.answer_.is_complete() && each.answer_.status_ == 200 &&
               !field(each.answer_.fields_, "X-Response-Signature").empty();
    }));
}

auto describe_ends(const std::vector<sent_request>& requests) -> std::string
{
    std::map<std::string, int> counts;
    for (const auto& each : requests) {
        const auto& answer = each.answer_;
        const bool is_own = field(answer.fields_, "X-Response-Signature").empty();
        ++counts[answer.is_complete()
                     ? std::to_string(answer.status_) + (is_own ? "" : " from a server")
                     : name_of(answer.ending_)];
    }
    std::string text;
    for (const auto& [name, count] : counts) {
        text += (text.empty() ? "" : ", ") + name + ": " + std::to_string(count);
    }
    return text.empty() ? "none" : text;
}

} // namespace review
