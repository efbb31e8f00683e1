/** \file
 * The routes of a node: the table and the roll-outs in force joined with the currently known
 * targets.
 *
 * A route table is immutable. Each call keeps the one that it started with until it ends, so it
 * sees a single version.
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
#include "policy/organisation_index.h"
#include "policy/path_index.h"
#include "policy/service_state.h"
#include "policy/target_health.h"
#include "rollout/rollout.h"
#include "table/table.h"

namespace sycamorewinch {

/** A target that may be chosen, and its weight. */
struct weighted_target {
    target_record record_;
    double weight_ = 1;
    std::shared_ptr<target_health> health_; ///< Shared by successive route tables; may be null.
};

struct service_route;
struct version_split;
class rollout_currency;

/** One of the services that a row splits its calls among. */
struct split_destination {
    std::uint32_t weight_ = 0;
    std::shared_ptr<const service_route> route_; ///< Shared by all rows that split to the service.
};

/** The targets or split destinations of one row, or the targets of one split destination. */
struct service_route {
    const row* row_ = nullptr; ///< Into the table held by the route_table; null in a destination.
    std::string service_;
    std::vector<weighted_target> targets_; ///< Targets that are up and have a weight above 0.
    double total_weight_ = 0;
    std::shared_ptr<service_state> state_; ///< Outlives the route table; null without a hook.
    /** If not empty, calls go to these instead of targets_. */
    std::vector<split_destination> destinations_;
    /** Set while a roll-out of the service sends calls to two versions. Each call then goes to one
     * of the sides, and targets_ holds the targets of both, weighted by their shares. */
    std::shared_ptr<const version_split> versions_;
    /** In a side of a version_split: the targets of both sides, among which the limits of callers
     * are divided. */
    std::shared_ptr<const service_route> both_sides_;
};

/** The roll-outs that routes are created for. */
struct rollouts_in_force {
    std::shared_ptr<const rollout_set> set_;           ///< Null: none.
    std::shared_ptr<const rollout_currency> currency_; ///< Null: always current.
};

/** Returns the state of a service, which is shared by successive route tables. */
using service_state_hook = std::function<std::shared_ptr<service_state>(const std::string&)>;

/** An immutable set of routes. */
class route_table {
  public:
    /** Joins \p table with \p targets and \p rollouts. A null \p table means that no table is in
     * force. \p organisations must be those of \p table; if null, they are indexed here. \p match
     * is how the path prefixes of the rows match. */
    [[nodiscard]] static auto
    create(std::shared_ptr<const table> table, const std::vector<target_record>& targets,
           const service_state_hook& state_of = {}, const rollouts_in_force& rollouts = {},
           std::shared_ptr<const organisation_index> organisations = nullptr,
           prefix_match match = prefix_match::segment) -> std::shared_ptr<const route_table>;

    /** Returns the route with the longest path prefix that matches \p path, among the rows for
     * \p host or, if none of them matches, the rows for any host; nullptr if none matches. */
    [[nodiscard]] auto match(std::string_view path, std::string_view host = {}) const
        -> const service_route*;

    /** Returns the table in force, or nullptr. */
    [[nodiscard]] auto table_in_force() const -> const std::shared_ptr<const table>&
    {
        return table_;
    }

    /** Returns the organisations of the table in force. */
    [[nodiscard]] auto organisations() const -> const organisation_index&
    {
        return *organisations_;
    }

  private:
    route_table() = default;

    std::shared_ptr<const table> table_;
    std::shared_ptr<const organisation_index> organisations_;
    std::vector<service_route> routes_;
    std::unordered_map<std::string, path_index> by_host_; ///< Positions in routes_; "": any host.
};

/** Returns \p host in lower case and without its port, the form used in rows. */
[[nodiscard]] auto normalize_host(std::string_view host) -> std::string;

/** Returns the split destination of \p route for one call, chosen by weight; \p route itself if it
 * is not split. */
[[nodiscard]] auto choose_destination(const service_route& route, const random_hook& random)
    -> const service_route&;

/** Returns the split destination of \p route, or \p route itself if it is not split, whose service
 * is \p service; nullptr if there is none. */
[[nodiscard]] auto find_destination(const service_route& route, std::string_view service)
    -> const service_route*;

} // namespace sycamorewinch
