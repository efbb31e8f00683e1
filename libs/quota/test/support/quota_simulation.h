/** \file
 * Nodes that share the quota of an organisation under virtual time, with delays and faults.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "quota/quota_client.h"
#include "quota/quota_service.h"

namespace sycamorewinch {

/** The quota of an organisation. */
struct quota_case {
    double per_second_ = 0;
    std::uint64_t burst_ = 0;

    [[nodiscard]] auto limit() const -> quota_limit
    {
        constexpr double thousandths = 1'000;
        return {static_cast<std::uint64_t>(per_second_ * thousandths), burst_};
    }
    /** Returns how many requests may run in any 5 s. */
    [[nodiscard]] auto most_in_window() const -> std::size_t
    {
        const auto most = (per_second_ * 5 + static_cast<double>(burst_)) * 1.1 + 20;
        return static_cast<std::size_t>(most);
    }
};

/** What became of the requests of one organisation. */
struct quota_outcome {
    std::vector<instant> runs_;     ///< When requests were granted, in order.
    std::vector<instant> refusals_; ///< When requests were refused, for any reason, in order.
    std::uint64_t unavailable_ = 0; ///< Of the refusals, those not decided by a holder.
    std::uint64_t messages_ = 0;    ///< Questions and answers between nodes.
    std::uint64_t message_bytes_ = 0;

    /** Returns the largest number of runs in any 5 s of [\p from, \p until). */
    [[nodiscard]] auto most_in_window(instant from, instant until) const -> std::size_t;
    /** Returns the refused part of the requests since \p from. */
    [[nodiscard]] auto lost_part(instant from) const -> double;
};

/** Nodes on a network with a fixed delay. */
class quota_simulation {
  public:
    quota_simulation(std::size_t nodes, quota_limit limit, std::uint64_t seed);
    quota_simulation(const quota_simulation&) = delete;
    auto operator=(const quota_simulation&) -> quota_simulation& = delete;
    quota_simulation(quota_simulation&&) = delete;
    auto operator=(quota_simulation&&) -> quota_simulation& = delete;
    ~quota_simulation();

    /** Sends requests at random intervals with a mean rate of \p per_second to random nodes out of
     * \p entries (all nodes if empty) in [\p from, \p until). */
    void add_load(double per_second, instant from, instant until,
                  std::vector<std::size_t> entries = {});
    /** Calls \p action at \p at. */
    void at(instant at, std::function<void()> action);
    void run_until(instant end);

    /** Ends a node; requests to it go to other nodes from then on. With \p is_silent its peers are
     * not told, as when its VM stops. */
    void kill(std::size_t node, bool is_silent);
    /** Starts a killed node again, without anything that it knew. */
    void restart(std::size_t node);
    /** Drops all messages between \p nodes and the others until reconnect(); they still reach each
     * other. */
    void cut_off(const std::set<std::size_t>& nodes);
    void cut_off(std::size_t node) { cut_off(std::set{node}); }
    /** Ends the cut; the node is told up to \p skew later which nodes are up. */
    void reconnect(std::size_t node, duration skew = duration(0));
    /** Suspends a node: what it is sent waits until thaw(). */
    void freeze(std::size_t node) { frozen_.insert(node); }
    void thaw(std::size_t node);
    /** Gives all nodes that are not cut off, not killed and not frozen the list of the nodes that
     * are up, each up to \p skew later. */
    void publish_nodes(duration skew, const std::set<std::size_t>& without = {});
    /** Gives all nodes another limit, each up to \p skew later. */
    void set_limit(quota_limit limit, duration skew);

    /** Returns the node in place \p rank of the rendezvous order. */
    [[nodiscard]] auto holder(std::size_t rank = 0) const -> std::size_t;
    [[nodiscard]] auto outcome() const -> const quota_outcome& { return outcome_; }
    [[nodiscard]] auto start() const -> instant { return start_; }
    [[nodiscard]] auto now() const -> instant { return now_; }
    /** Counts requests that still wait for an answer. */
    [[nodiscard]] auto waiting() const -> std::uint64_t { return waiting_; }

  private:
    struct node;
    [[nodiscard]] auto make_node(std::size_t number) -> std::unique_ptr<node>;
    struct event {
        instant at_;
        std::uint64_t number_;
        std::function<void()> action_;

        [[nodiscard]] auto operator<(const event& other) const -> bool
        {
            return at_ != other.at_ ? at_ > other.at_ : number_ > other.number_;
        }
    };

    void send(std::size_t from, const std::string& to, const quota_ask& ask,
              std::chrono::milliseconds timeout, grant_hook answer);
    /** Runs \p action on \p node, after its thaw if it is frozen; not at all if it is killed. */
    void on_node(std::size_t node, std::function<void()> action);
    [[nodiscard]] auto is_connected(std::size_t one, std::size_t other) const -> bool;
    void request(std::size_t node);
    /** Returns when the control group last proved the table of \p node current. */
    [[nodiscard]] auto proved_at(std::size_t node) const -> instant;
    /** Gives a node the list of publication number \p publication, unless it has a later one. */
    void set_view(std::size_t node, quota_nodes view, std::uint64_t publication);
    [[nodiscard]] auto random_node(const std::vector<std::size_t>& entries) -> std::size_t;

    random_hook random_;
    instant start_;
    instant now_;
    std::uint64_t last_event_ = 0;
    std::priority_queue<event> events_;
    quota_limit limit_;             ///< Of nodes that start.
    quota_nodes up_;                ///< As published last; own_ is empty.
    std::uint64_t publication_ = 0; ///< Its number.
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<std::unique_ptr<node>> ended_nodes_; ///< Late messages may still refer to them.
    std::unordered_map<std::string, std::size_t> numbers_; ///< By address.
    /** A node that is cut off. */
    struct cut {
        std::uint64_t group_; ///< Of the nodes that it still reaches.
        instant since_;
    };
    std::map<std::size_t, cut> cut_;
    std::uint64_t last_cut_group_ = 0;
    std::set<std::size_t> frozen_;
    std::set<std::size_t> silent_;
    quota_outcome outcome_;
    std::uint64_t waiting_ = 0;
};

} // namespace sycamorewinch
