/** \file
 * What a node needs to route calls: the table in force joined with the targets known now.
 *
 * Immutable once made; a call keeps the one it started with to its end, so it sees one version.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "membership/target_record.h"
#include "policy/path_index.h"
#include "policy/service_state.h"
#include "policy/target_health.h"
#include "table/table.h"

namespace sycamorewinch {

/** One target that may be chosen, and its share. */
struct weighted_target {
    target_record record_;
    double weight_ = 1;
    std::shared_ptr<target_health> health_; ///< Kept from one route table to the next; may be null.
};

struct service_route;

/** One service of a row whose calls are split over several. */
struct route_part {
    std::uint32_t weight_ = 0;
    std::shared_ptr<const service_route> route_; ///< Shared by all rows that name the service.
};

/** The targets of one service. */
struct service_route {
    const row* row_ = nullptr; ///< Points into the table that the routes keep; null in a part.
    std::string service_;
    std::vector<weighted_target> targets_; ///< Those that are up and have a weight above zero.
    double total_weight_ = 0;
    std::shared_ptr<service_state> state_; ///< Outlives the table; null where no hook gave one.
    std::vector<route_part> parts_;        ///< Not empty: the calls go to these, not to targets_.
};

/** Returns the state of a service, kept from one route table to the next. */
using service_state_hook = std::function<std::shared_ptr<service_state>(const std::string&)>;

/** All routes of one moment. */
class route_table {
  public:
    /** Joins \p table with \p targets. A null \p table means that none is in force. */
    [[nodiscard]] static auto create(std::shared_ptr<const table> table,
                                     const std::vector<target_record>& targets,
                                     const service_state_hook& state_of = {})
        -> std::shared_ptr<const route_table>;

    /** Returns the route with the longest path prefix that \p path starts with, of the rows for
     * \p host or else of those for any host; or nullptr. */
    [[nodiscard]] auto match(std::string_view path, std::string_view host = {}) const
        -> const service_route*;

    /** Returns the table in force, or nullptr. */
    [[nodiscard]] auto table_in_force() const -> const std::shared_ptr<const table>&
    {
        return table_;
    }

  private:
    route_table() = default;

    std::shared_ptr<const table> table_;
    std::vector<service_route> routes_;
    std::unordered_map<std::string, path_index> by_host_; ///< Positions in routes_; "": any host.
};

/** Returns \p host without its port and in lower case, as rows name it. */
[[nodiscard]] auto host_name_of(std::string_view host) -> std::string;

/** Returns the part of \p route that takes one call, chosen by weight; \p route itself when it is
 * not split. */
[[nodiscard]] auto choose_destination(const service_route& route, const random_hook& random)
    -> const service_route&;

/** Returns the part of \p route whose calls go to \p service, which may be \p route itself; nullptr
 * when none do. */
[[nodiscard]] auto find_destination(const service_route& route, std::string_view service)
    -> const service_route*;

} // namespace sycamorewinch
