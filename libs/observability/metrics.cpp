#include "observability/metrics.h"

#include <map>
#include <mutex>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <fmt/format.h>

namespace sycamorewinch {

namespace {

namespace bh = boost::histogram;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using atomic_storage = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;
using log_histogram = bh::histogram<std::tuple<log_axis>, atomic_storage>;

constexpr double min_seconds = 10e-6;
constexpr double max_seconds = 100;
constexpr unsigned seconds_bins = 70; // ten per decade

auto format_labels(const std::vector<metric_label>& labels) -> std::string
{
    std::string text;
    for (const auto& label : labels) {
        std::string value;
        for (const char character : label.value_) {
            if (character == '"' || character == '\\') {
                value.push_back('\\');
            }
            value.push_back(character == '\n' ? ' ' : character);
        }
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", label.name_, value);
    }
    return text;
}

} // namespace

struct histogram::bins {
    log_histogram values_;
};

histogram::histogram(double low, double high, unsigned bin_count)
    : bins_(std::make_unique<bins>(
          bins{bh::make_histogram_with(atomic_storage(), log_axis(bin_count, low, high))}))
{
}

histogram::~histogram() = default;

void histogram::record(double value)
{
    bins_->values_(value);
    sum_.fetch_add(value, std::memory_order_relaxed);
}

auto histogram::count() const -> std::uint64_t
{
    std::uint64_t total = 0;
    for (const auto& bin : bins_->values_) {
        total += bin.value();
    }
    return total;
}

auto histogram::quantile(double fraction) const -> double
{
    const auto& axis = bins_->values_.axis(0);
    const auto target_count = fraction * static_cast<double>(count());
    double cumulative = 0;
    for (int index = -1; index < axis.size(); ++index) {
        cumulative += static_cast<double>(bins_->values_.at(index).value());
        if (cumulative >= target_count) {
            return axis.value(index + 1);
        }
    }
    return axis.value(axis.size());
}

void histogram::write(std::string& out, std::string_view name, std::string_view labels) const
{
    const auto& axis = bins_->values_.axis(0);
    const auto comma = labels.empty() ? "" : ",";
    std::uint64_t cumulative = bins_->values_.at(-1).value();
    for (int index = 0; index < axis.size(); ++index) {
        cumulative += bins_->values_.at(index).value();
        out += fmt::format("{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", name, labels, comma,
                           axis.value(index + 1), cumulative);
    }
    const auto total = cumulative + bins_->values_.at(axis.size()).value();
    out += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, comma, total);
    out += fmt::format("{}_sum{{{}}} {:.6f}\n", name, labels, sum_.load());
    out += fmt::format("{}_count{{{}}} {}\n", name, labels, total);
}

struct metrics_registry::state {
    struct family {
        std::string help_;
        metric_kind kind_ = metric_kind::counter;
        std::map<std::string, std::unique_ptr<counter>> counters_;
        std::map<std::string, std::unique_ptr<histogram>> histograms_;
    };

    auto find_or_add_family(std::string_view name, std::string_view help, metric_kind kind)
        -> family&
    {
        auto& found = families_[std::string(name)];
        found.help_ = help;
        found.kind_ = kind;
        return found;
    }

    auto find_or_add_value(std::string_view name, std::string_view help, metric_kind kind,
                           const std::vector<metric_label>& labels) -> counter&
    {
        const std::lock_guard guard(mutex_);
        auto& entry = find_or_add_family(name, help, kind).counters_[format_labels(labels)];
        if (!entry) {
            entry = std::make_unique<counter>();
        }
        return *entry;
    }

    mutable std::mutex mutex_;
    std::map<std::string, family> families_;
};

metrics_registry::metrics_registry() : state_(std::make_unique<state>()) {}
metrics_registry::~metrics_registry() = default;

auto metrics_registry::count(std::string_view name, std::string_view help,
                             const std::vector<metric_label>& labels) -> counter&
{
    return state_->find_or_add_value(name, help, metric_kind::counter, labels);
}

auto metrics_registry::gauge(std::string_view name, std::string_view help,
                             const std::vector<metric_label>& labels) -> counter&
{
    return state_->find_or_add_value(name, help, metric_kind::gauge, labels);
}

auto metrics_registry::seconds(std::string_view name, std::string_view help,
                               const std::vector<metric_label>& labels) -> histogram&
{
    const std::lock_guard guard(state_->mutex_);
    auto& entry = state_->find_or_add_family(name, help, metric_kind::histogram)
                      .histograms_[format_labels(labels)];
    if (!entry) {
        entry = std::make_unique<histogram>(min_seconds, max_seconds, seconds_bins);
    }
    return *entry;
}

auto metrics_registry::prometheus_text() const -> std::string
{
    constexpr std::array<std::string_view, 3> type_names{"counter", "gauge", "histogram"};
    const std::lock_guard guard(state_->mutex_);
    std::string out;
    for (const auto& [name, family] : state_->families_) {
        out += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, family.help_, name,
                           type_names.at(static_cast<std::size_t>(family.kind_)));
        for (const auto& [labels, value] : family.counters_) {
            out += fmt::format("{}{}{}{} {}\n", name, labels.empty() ? "" : "{", labels,
                               labels.empty() ? "" : "}", value->value());
        }
        for (const auto& [labels, value] : family.histograms_) {
            value->write(out, name, labels);
        }
    }
    return out;
}

} // namespace sycamorewinch
