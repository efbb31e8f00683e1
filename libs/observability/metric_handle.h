/** \file
 * A reference to a metric that is looked up on first use. After that, access takes no lock.
 *
 * \code
 * metric_handle<counter> refused;
 * refused.get([&]() -> counter& { return registry.count("refused_total", "Calls refused.");
 * }).add(); \endcode
 */
#pragma once

#include <atomic>

namespace sycamorewinch {

/** Thread-safe. Concurrent first uses resolve to the same metric. */
template <typename Metric>
class metric_handle {
  public:
    /** Returns the metric, which \p resolve looks up in its registry on first use. */
    template <typename Resolve>
    auto get(const Resolve& resolve) -> Metric&
    {
        auto* metric = metric_.load(std::memory_order_acquire);
        if (metric == nullptr) {
            metric = &resolve();
            metric_.store(metric, std::memory_order_release);
        }
        return *metric;
    }

  private:
    std::atomic<Metric*> metric_{nullptr};
};

} // namespace sycamorewinch
