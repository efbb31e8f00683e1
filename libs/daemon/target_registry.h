/** \file
 * The targets that have announced themselves to this node, with their leases.
 *
 * Does no I/O: takes announcements and the time, returns changed records to report upstream.
 */
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/target_record.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** What a target announces about itself. */
struct target_announcement {
    std::string service_;
    std::string target_;
    peer_address address_; ///< Where it accepts requests.
    std::uint32_t slots_ = 0;
    std::chrono::milliseconds cold_start_{0};
    std::chrono::milliseconds lease_{0}; ///< The target renews the announcement within this time.
    /** It takes no new requests. If started_ is known, this holds until its next start. */
    bool draining_ = false;
    /** Identifies the start of the target: a later start has a larger number; 0 if unknown. */
    std::uint64_t started_ = 0;
    /** Increases with every announcement of one start; 0: ordered by arrival. */
    std::uint64_t sequence_ = 0;
    /** Of the target, at most max_software_version_bytes long; empty if unknown. */
    std::string software_version_;
};

/** Returns what keeps \p announcement from being registered: a name that the other processes would
 * not read, or an address without a port. Empty if it may be. */
[[nodiscard]] auto announcement_problem(const target_announcement& announcement) -> std::string;

/** Why an announcement is ignored. */
enum class announcement_refusal : std::uint8_t {
    none,
    superseded,      ///< A later one of the same start, or a later start at the address, is known.
    left,            ///< This start has announced leaving to this process.
    withdrawn_start, ///< This start was withdrawn, as the records of the other processes tell.
    withdrawn_name,  ///< The target was withdrawn, and no record tells which start of it.
    withdrawn_later, ///< This start may be the one withdrawn, though the records tell an earlier
                     ///< one.
};

/** Returns the name of \p reason for logs and metrics. */
[[nodiscard]] auto name_of(announcement_refusal reason) -> std::string_view;

/** How long after a withdrawal an announcement that was sent before may arrive. */
constexpr duration max_announcement_delay = std::chrono::seconds(10);
/** How long the withdrawal of a target that is not registered is remembered, if no other process
 * tells which start of it has left. Announcements may be late by seconds. */
constexpr duration withdrawal_retention = std::chrono::seconds(60);
/** The number of such withdrawals that are remembered. Few targets run beside one node, but anyone
 * on its VM can send a withdrawal. */
constexpr std::size_t max_withdrawals = 32;

/** One announced target. */
struct registered_target {
    target_announcement announcement_;
    target_record record_;
    instant lease_end_;
    bool drained_by_operator_ = false; ///< Overrides what the target announces.
    bool has_left_ = false;            ///< It announced leaving and has not restarted since.
    bool is_leaving_ = false;          ///< It said so, and has not restarted since.
    std::uint32_t starts_ = 0;         ///< How many starts of it were announced.
};

/** The targets beside one node. */
class target_registry {
  public:
    /** \p incarnation increases with every start of the node; \p node_admin is the node's admin
     * address. */
    target_registry(std::string availability_zone, std::string node_address,
                    std::uint64_t incarnation, std::string node_admin = {});

    /** Returns why \p announcement would be ignored, or none. */
    [[nodiscard]] auto refusal_of(const target_announcement& announcement, instant now) const
        -> announcement_refusal;

    /** Processes an announcement, unless refusal_of() ignores it; returns whether any record
     * changed. Other targets registered at the address are marked gone. */
    auto announce(const target_announcement& announcement, instant now) -> bool;

    /** Returns whether \p announcement, of a service that the table does not name, would replace a
     * target at its address whose service it names. \p is_named says so of a service. */
    [[nodiscard]] auto
    displaces_named_target(const target_announcement& announcement,
                           const std::function<bool(const std::string& service)>& is_named) const
        -> bool;

    /** Marks the target named \p target as gone in every service. If it has not announced itself
     * here, which it may have done to an earlier process of this node, the start that has left is
     * that in \p known, the records of all processes, or in those that learn_leaving() gets later.
     * Returns the changed records. */
    auto withdraw(const std::string& target, const std::vector<target_record>& known, instant now)
        -> std::vector<target_record>;

    /** Marks a target that has said it is leaving as draining until it restarts. Returns the
     * changed records. */
    auto mark_leaving(const std::string& service, const std::string& target)
        -> std::vector<target_record>;

    /** Adopts from \p received records of this node's own targets that they are leaving, which the
     * node may have been told before it restarted, and which starts of them have been withdrawn.
     * Returns the changed records. */
    auto learn_leaving(const std::vector<target_record>& received) -> std::vector<target_record>;

    /** Marks targets with expired leases as gone; returns the changed records. */
    auto expire(instant now) -> std::vector<target_record>;

    /** Overrides \p received records of this node's own targets that are newer than its own, by
     * raising the incarnation or sequence above theirs. Records of targets that another node has
     * taken over are left alone. Returns the changed records. */
    auto refute(const std::vector<target_record>& received) -> std::vector<target_record>;

    /** Returns, marked gone, the records in \p received that place a target beside this node
     * although it has not announced itself here: it ran before the node started, and has since
     * ended or been replaced. */
    [[nodiscard]] auto disown(const std::vector<target_record>& received) const
        -> std::vector<target_record>;

    /** Makes every record newer than any copy in another process. Called after a change of
     * upstream, so that the previous upstream learns that it no longer keeps the leases. */
    void renew();

    /** Marks every target that is up as draining; returns the changed records. */
    auto drain_all() -> std::vector<target_record>;

    /** Drains one target on behalf of an operator, or returns it to service. The setting lasts
     * until the node stops. Returns the changed records, or not_found for an unknown target. */
    auto drain_target(const std::string& service, const std::string& target, bool drained)
        -> result<std::vector<target_record>>;

    /** Drains the whole node on behalf of an operator, or returns it to service: all its targets,
     * including those that announce themselves later. Returns the changed records. */
    auto drain_node(bool drained) -> std::vector<target_record>;

    [[nodiscard]] auto records() const -> std::vector<target_record>;
    [[nodiscard]] auto targets() const -> std::vector<registered_target>;

  private:
    /** The withdrawal of a target that had not announced itself here. */
    struct withdrawal {
        std::string target_;
        instant at_{};
        std::uint64_t left_start_ = 0; ///< The latest start known to have left; 0: none.
    };

    /** Returns whether \p record is of a target beside this node that is not registered. */
    [[nodiscard]] auto is_of_earlier_process(const target_record& record) const -> bool;
    [[nodiscard]] auto withdrawal_refusal_of(const target_announcement& announcement,
                                             instant now) const -> announcement_refusal;
    void resolve_withdrawals(const std::vector<target_record>& received,
                             std::vector<target_record>& changed);
    /** Returns whether \p announcement is the first one of a start of \p target. */
    [[nodiscard]] static auto is_start(const registered_target& target,
                                       const target_announcement& announcement) -> bool;
    [[nodiscard]] auto registered_refusal_of(const target_announcement& announcement) const
        -> announcement_refusal;
    auto retire_others_at_address(const target_announcement& announcement) -> bool;
    auto next_sequence() -> std::uint64_t;
    auto set_state(registered_target& target, target_state state) -> bool;
    [[nodiscard]] auto announced_state(const registered_target& target) const -> target_state;
    auto update_state(registered_target& target, std::vector<target_record>& changed) -> void;

    std::string availability_zone_;
    std::string node_address_;
    std::uint64_t incarnation_;
    std::string node_admin_;
    bool node_drained_ = false;
    std::uint64_t sequence_ = 0;
    std::map<std::pair<std::string, std::string>, registered_target> targets_;
    std::deque<withdrawal> withdrawals_; ///< The oldest first.
};

} // namespace sycamorewinch
