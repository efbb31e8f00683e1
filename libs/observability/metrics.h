/** \file
 * Counters, gauges and histograms, written out in the Prometheus text format.
 *
 * The registry locks a mutex to look up or create a metric; updates through the returned reference
 * are lock-free. References stay valid as long as the registry.
 *
 * \code
 * auto& refused = metrics.count("sycamorewinch_refusals_total", "Calls refused.",
 *                               {{"reason", "no_target"}, {"service", "dialer"}});
 * refused.add();
 * \endcode
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace sycamorewinch {

/** The value of a counter, which only rises, or of a gauge, which is set. Thread-safe. */
class counter {
  public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    void set(std::uint64_t value) { value_.store(value, std::memory_order_relaxed); }
    [[nodiscard]] auto value() const -> std::uint64_t
    {
        return value_.load(std::memory_order_relaxed);
    }

  private:
    std::atomic<std::uint64_t> value_{0};
};

/** The distribution of a positive quantity over logarithmic bins. Thread-safe. */
class histogram {
  public:
    /** Covers [\p low, \p high] with \p bins bins; values outside are counted in
     * underflow and overflow bins. */
    histogram(double low, double high, unsigned bins);
    histogram(const histogram&) = delete;
    auto operator=(const histogram&) -> histogram& = delete;
    histogram(histogram&&) = delete;
    auto operator=(histogram&&) -> histogram& = delete;
    ~histogram();

    void record(double value);
    /** Returns the number of recorded values. */
    [[nodiscard]] auto count() const -> std::uint64_t;
    /** Returns the upper edge of the bin that holds the quantile \p fraction, in [0, 1]. */
    [[nodiscard]] auto quantile(double fraction) const -> double;
    /** Appends the cumulative buckets, the sum and the count to \p out in the Prometheus text
     * format. \p labels is the formatted label list, without braces. */
    void write(std::string& out, std::string_view name, std::string_view labels) const;

  private:
    struct bins;
    std::unique_ptr<bins> bins_;
    std::atomic<double> sum_{0};
};

/** One label of a metric. */
struct metric_label {
    std::string_view name_;
    std::string_view value_;
};

/** The type of a metric, as written in its TYPE line. */
enum class metric_kind : std::uint8_t { counter, gauge, histogram };

/** All metrics of one process. */
class metrics_registry {
  public:
    metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    auto operator=(const metrics_registry&) -> metrics_registry& = delete;
    metrics_registry(metrics_registry&&) = delete;
    auto operator=(metrics_registry&&) -> metrics_registry& = delete;
    ~metrics_registry();

    /** Returns the counter \p name with \p labels; creates it on first use. */
    auto count(std::string_view name, std::string_view help,
               const std::vector<metric_label>& labels = {}) -> counter&;
    /** Returns the gauge \p name with \p labels; creates it on first use. */
    auto gauge(std::string_view name, std::string_view help,
               const std::vector<metric_label>& labels = {}) -> counter&;
    /** Returns the histogram \p name with \p labels; creates it on first use. Values are in
     * seconds, with bins from 10 microseconds to 100 seconds. */
    auto seconds(std::string_view name, std::string_view help,
                 const std::vector<metric_label>& labels = {}) -> histogram&;

    /** Returns every metric in the Prometheus text format, version 0.0.4. */
    [[nodiscard]] auto prometheus_text() const -> std::string;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
