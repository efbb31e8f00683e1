/** \file
 * Which upstream a node or relay connects to next.
 *
 * Upstreams are known from the settings, and from the publishers themselves once one was reached.
 * One in the own availability zone goes first, so that what travels down crosses a zone once. One
 * that failed lately goes last.
 *
 * Pure: \code
 * choice.note_failure(current, now);
 * dial(choice.next(now));
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

/** How long an upstream that failed is avoided. */
constexpr duration upstream_avoided_for = std::chrono::seconds(3);

/** The upstreams that one process knows of. */
class upstream_choice {
  public:
    upstream_choice(std::vector<peer_address> configured, std::string availability_zone,
                    random_hook random);

    /** Replaces the upstreams of the settings. */
    void set_configured(std::vector<peer_address> configured)
    {
        configured_ = std::move(configured);
    }
    /** Replaces the upstreams that a publisher told of. */
    void set_publishers(const std::vector<publisher_address>& publishers);

    /** Returns the upstream to dial. */
    [[nodiscard]] auto next(instant now) const -> peer_address;

    /** Returns whether another upstream stands in the own zone and \p current does not. */
    [[nodiscard]] auto is_nearer_known(const peer_address& current, instant now) const -> bool;

    void note_failure(const peer_address& address, instant now) { failed_[address] = now; }

  private:
    [[nodiscard]] auto all() const -> std::vector<peer_address>;
    [[nodiscard]] auto is_near(const peer_address& address) const -> bool;
    [[nodiscard]] auto is_avoided(const peer_address& address, instant now) const -> bool;

    std::vector<peer_address> configured_;
    std::string availability_zone_;
    random_hook random_;
    std::map<peer_address, std::string> zones_; ///< Of the publishers.
    std::map<peer_address, instant> failed_;    ///< When each failed last.
};

} // namespace sycamorewinch
