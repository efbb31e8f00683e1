/** \file
 * The leases of the targets whose nodes, or whose nodes' relays, are connected to this process.
 *
 * A lease lasts while the connection does, and a while longer. When it has run out the target is
 * marked gone by the next sequence number; a node that still lives refutes that. Many leases lost
 * at once look like a partition or a herd of restarts: then the last known targets are kept for
 * longer. No lease takes away the last target of a service that is up.
 *
 * \code
 * leases.hold(record, subscriber, false);
 * leases.on_holder_gone(subscriber, now);
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

/** How long leases last without a connection. */
struct lease_options {
    duration node_lease_ = std::chrono::seconds(10);
    duration relay_lease_ = std::chrono::seconds(30); ///< The nodes below need time to move.
    duration mass_lease_ = std::chrono::minutes(2);   ///< When many are lost at once.
    std::size_t mass_floor_ = 2; ///< So many lost leases are never a mass expiry.
};

/** Names who holds a lease here; never reused. */
using lease_holder = std::uint64_t;

/** The leases that one process keeps. */
class target_leases {
  public:
    explicit target_leases(lease_options options = {}) : options_(options) {}

    /** \p holder is connected and vouches for \p record. */
    void hold(const target_record& record, lease_holder holder, bool is_relay);

    /** Later news of the target came from elsewhere: its lease is kept there now. */
    void release(const target_record& record);

    /** Another process says that it keeps the lease of the target now, without later news of it. */
    void take_over(const target_record& record);

    /** The connection of \p holder is gone. */
    void on_holder_gone(lease_holder holder, instant now);

    /** Returns the records of the targets whose lease has run out, marked gone. A process that
     * \p is_joined to nothing above it has no evidence against anybody and ends no lease. */
    [[nodiscard]] auto tick(instant now, bool is_joined, const target_directory& directory)
        -> std::vector<target_record>;

    /** Returns whether a lease of the target is kept here. */
    [[nodiscard]] auto holds(const target_record& record) const -> bool;

    /** Returns whether somebody who is connected here vouches for the target. */
    [[nodiscard]] auto is_vouched_for(const target_record& record) const -> bool;

    /** Returns how many targets are kept though nobody is connected who vouches for them. */
    [[nodiscard]] auto stale_count() const -> std::size_t;

  private:
    struct lease {
        lease_holder holder_ = 0;
        bool is_relay_ = false;
        bool is_connected_ = true;
        bool is_taken_over_ = false; ///< Ends without notice when the connection does.
        instant lost_at_{};
    };

    [[nodiscard]] auto expire(const std::vector<target_key>& due, const target_directory& directory)
        -> std::vector<target_record>;
    [[nodiscard]] auto length_of(const lease& lease, bool is_mass) const -> duration;

    lease_options options_;
    std::map<target_key, lease> leases_;
    instant now_{};
};

} // namespace sycamorewinch
