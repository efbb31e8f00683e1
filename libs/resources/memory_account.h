/** \file
 * The memory that one process holds for its clients, as one sum over all connections and threads.
 *
 * Whoever keeps a client's bytes has a memory_charge that states how many. The account only counts;
 * resource_guard decides what happens when a limit is reached.
 */
#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include "observability/metrics.h"

namespace sycamorewinch {

/** What clients' bytes are held for. Each use has a limit of its own within the account, so that
 * callers cannot displace the clients of a process's other addresses, nor these the callers. */
enum class memory_use : std::uint8_t {
    calls,      ///< Requests and responses of callers, on their way to and from targets.
    interfaces, ///< Requests to the admin address and to the external interface.
};

constexpr std::size_t memory_use_count = 2;

/** Returns the value of the metrics' label for \p use. */
[[nodiscard]] auto name_of(memory_use use) -> std::string_view;

/** Limits in bytes, by use. */
using memory_limits = std::array<std::uint64_t, memory_use_count>;

/** The account of one process. Thread-safe. */
class memory_account {
  public:
    memory_account(const memory_limits& limits, metrics_registry& metrics);

    void add(memory_use use, std::uint64_t bytes);
    void subtract(memory_use use, std::uint64_t bytes);

    [[nodiscard]] auto held(memory_use use) const -> std::uint64_t;
    [[nodiscard]] auto limit(memory_use use) const -> std::uint64_t
    {
        return limits_.at(static_cast<std::size_t>(use));
    }
    /** Returns the registry of the process's metrics. */
    [[nodiscard]] auto metrics() -> metrics_registry& { return metrics_; }

  private:
    memory_limits limits_;
    std::array<std::atomic<std::uint64_t>, memory_use_count> held_{};
    metrics_registry& metrics_;
    std::array<counter*, memory_use_count> gauges_{};
};

} // namespace sycamorewinch
