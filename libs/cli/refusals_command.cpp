#include <ostream>
#include <set>
#include <tuple>

#include <QJsonArray>
#include <fmt/core.h>

#include "cli/command_list.h"
#include "cli/metrics_text.h"
#include "cli/target_list.h"

namespace sycamorewinch {

namespace {

constexpr std::string_view refusals_metric = "sycamorewinch_refusals_total";

/** Refused calls, summed over all nodes that answered. */
struct refusal_totals {
    std::map<std::pair<std::string, std::string>, std::uint64_t> by_service_and_reason_;
    std::size_t nodes_ = 0;
    std::vector<std::string> fetch_errors_; ///< One message per node that could not be read.
};

void add_refusals(refusal_totals& totals, const std::string& text)
{
    for (const auto& sample : parse_samples(text, refusals_metric)) {
        const auto label = [&sample](const char* name) {
            const auto found = sample.labels_.find(name);
            return found == sample.labels_.end() ? std::string() : found->second;
        };
        if (sample.value_ > 0) {
            totals.by_service_and_reason_[{label("service"), label("reason")}] +=
                static_cast<std::uint64_t>(sample.value_);
        }
    }
}

auto collect_refusals(command_context& context, const std::vector<known_target>& targets)
    -> refusal_totals
{
    std::set<std::string> addresses;
    for (const auto& target : targets) {
        if (!target.admin_.empty()) {
            addresses.insert(target.admin_);
        }
    }
    refusal_totals totals;
    const std::vector<std::string> nodes(addresses.begin(), addresses.end());
    for (const auto& response : context.client_.get_texts(nodes, "/metrics")) {
        if (response.text_) {
            ++totals.nodes_;
            add_refusals(totals, *response.text_);
        }
        else {
            totals.fetch_errors_.push_back(response.text_.error().message_);
        }
    }
    return totals;
}

void print_totals(command_context& context, const refusal_totals& totals)
{
    context.out_ << fmt::format("{} nodes counted since they started\n", totals.nodes_);
    for (const auto& [key, count] : totals.by_service_and_reason_) {
        const auto& service = key.first.empty() ? std::string("(no service)") : key.first;
        context.out_ << fmt::format("  {}  {}: {}\n", service, key.second, count);
    }
    for (const auto& problem : totals.fetch_errors_) {
        context.errors_ << fmt::format("sycamorewinch: refusals of a node are not counted: {}\n",
                                       problem);
    }
}

auto totals_json(const refusal_totals& totals) -> QJsonObject
{
    QJsonArray refusals;
    for (const auto& [key, count] : totals.by_service_and_reason_) {
        refusals.append(QJsonObject{{"service", json_text(key.first)},
                                    {"reason", json_text(key.second)},
                                    {"count", static_cast<qint64>(count)}});
    }
    QJsonArray not_counted;
    for (const auto& problem : totals.fetch_errors_) {
        not_counted.append(json_text(problem));
    }
    return {{"nodes", static_cast<qint64>(totals.nodes_)},
            {"refusals", refusals},
            {"not_counted", not_counted}};
}

} // namespace

auto show_refusals(command_context& context, const command_words&) -> exit_status
{
    const auto targets = fetch_targets(context);
    if (!targets) {
        return fail(context, targets.error().message_);
    }
    const auto totals = collect_refusals(context, *targets);
    if (context.json_) {
        print_json(context, totals_json(totals));
    }
    else {
        print_totals(context, totals);
    }
    return totals.fetch_errors_.empty() ? exit_status::done : exit_status::failed;
}

} // namespace sycamorewinch
