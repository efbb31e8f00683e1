/** \file
 * Selects the upstream that a node or relay connects to next.
 *
 * Upstreams are configured in the settings; once connected, a publisher also sends the addresses of
 * other publishers, which are upstreams too. An upstream in the same availability zone is
 * preferred, so that each update crosses the zone boundary only once. One that failed recently
 * comes last.
 *
 * Does no I/O: \code
 * selector.record_failure(current, now);
 * dial(selector.next(now));
 * \endcode
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "distribution/distribution_message.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** How long an upstream is avoided after a failure. */
constexpr duration upstream_failure_cooldown = std::chrono::seconds(3);

/** The upstreams known to one process. */
class upstream_selector {
  public:
    upstream_selector(std::vector<peer_address> configured, std::string availability_zone,
                      random_hook random);

    /** Replaces the upstreams from the settings. */
    void set_configured(std::vector<peer_address> configured)
    {
        configured_ = std::move(configured);
    }
    /** Replaces the upstreams learned from a publisher. */
    void set_publishers(const std::vector<publisher_address>& publishers);

    /** Returns the upstream to dial. */
    [[nodiscard]] auto next(instant now) const -> peer_address;

    /** Returns whether \p current is outside the zone of this process while a publisher inside it
     * is known and not in cooldown. */
    [[nodiscard]] auto has_nearer_upstream(const peer_address& current, instant now) const -> bool;

    void record_failure(const peer_address& address, instant now) { last_failures_[address] = now; }
    void record_success(const peer_address& address) { last_failures_.erase(address); }

  private:
    [[nodiscard]] auto all_upstreams() const -> std::vector<peer_address>;
    [[nodiscard]] auto is_in_own_zone(const peer_address& address) const -> bool;
    [[nodiscard]] auto is_in_cooldown(const peer_address& address, instant now) const -> bool;

    std::vector<peer_address> configured_;
    std::string availability_zone_;
    random_hook random_;
    std::map<peer_address, std::string> publisher_zones_; ///< Availability zone of each publisher.
    std::map<peer_address, instant> last_failures_; ///< Time of the last failure of each upstream.
};

} // namespace sycamorewinch
