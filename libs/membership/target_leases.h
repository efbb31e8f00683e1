/** \file
 * The leases of the targets whose nodes, or whose nodes' relays, are connected to this process.
 *
 * A lease lasts as long as the connection and for a grace period after it. When it expires, the
 * target is marked as gone with the next sequence number; a node that is still alive overrides the
 * mark by a newer record. The loss of many connections at once suggests a network partition or mass
 * restart, so the last known targets are then kept for longer. The last target of a service that is
 * up never expires.
 *
 * \code
 * leases.hold(record, subscriber, false);
 * leases.on_holder_disconnected(subscriber, now);
 * for (const auto& gone : leases.tick(later, true, directory)) directory.merge(gone);
 * \endcode
 */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "membership/target_directory.h"

namespace sycamorewinch {

/** How long leases last after the connection is lost. */
struct lease_options {
    duration node_lease_ = std::chrono::seconds(10);
    duration relay_lease_ = std::chrono::seconds(30); ///< Its nodes need time to connect elsewhere.
    duration mass_loss_lease_ = std::chrono::minutes(2); ///< When many are lost at once.
    std::size_t mass_loss_threshold_ = 2;                ///< Up to this many are never a mass loss.
};

/** Identifies the connection that holds a lease; never reused. */
using lease_holder = std::uint64_t;

/** The leases kept by one process. */
class target_leases {
  public:
    explicit target_leases(lease_options options = {}) : options_(options) {}

    /** Gives the connected \p holder the lease of the target, or ends it if the target is gone. */
    void hold(const target_record& record, lease_holder holder, bool is_relay);

    /** Ends the lease because a newer record came from elsewhere, where the lease is kept now. */
    void release(const target_record& record);

    /** Another process reports, with the same record, that it now keeps the lease of the target. */
    void take_over(const target_record& record);

    /** Starts the grace period of the leases of \p holder, whose connection was closed. */
    void on_holder_disconnected(lease_holder holder, instant now);

    /** Returns the records of the targets whose leases have expired, marked as gone. Without
     * \p has_upstream_contact this process may itself be partitioned: no lease expires then. */
    [[nodiscard]] auto tick(instant now, bool has_upstream_contact,
                            const target_directory& directory) -> std::vector<target_record>;

    /** Returns whether the lease of the target is kept here. */
    [[nodiscard]] auto holds(const target_record& record) const -> bool;

    /** Returns whether the lease of the target is kept here and its holder is connected. */
    [[nodiscard]] auto has_connected_holder(const target_record& record) const -> bool;

    /** Returns the number of leases whose holder is disconnected. */
    [[nodiscard]] auto stale_count() const -> std::size_t;

  private:
    struct lease {
        lease_holder holder_ = 0;
        bool is_relay_ = false;
        bool is_connected_ = true;
        bool is_taken_over_ = false; ///< Ends silently when the connection closes.
        instant disconnected_at_{};
    };

    [[nodiscard]] auto expire(const std::vector<target_key>& due, const target_directory& directory)
        -> std::vector<target_record>;
    [[nodiscard]] auto lease_duration(const lease& lease, bool is_mass_loss) const -> duration;

    lease_options options_;
    std::map<target_key, lease> leases_;
    instant now_{};
};

} // namespace sycamorewinch
