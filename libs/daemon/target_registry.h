/** \file
 * The targets that announced themselves to this node, with their leases.
 *
 * Pure: announcements and the time go in; records for the system come out.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/target_record.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** What a target says of itself. */
struct target_announcement {
    std::string service_;
    std::string target_;
    peer_address address_; ///< Where it takes requests.
    std::uint32_t slots_ = 0;
    std::chrono::milliseconds cold_start_{0};
    std::chrono::milliseconds lease_{0}; ///< It announces itself again before this is over.
    bool draining_ = false;
    /** Tells the target's starts apart: a later start has a larger number; 0: not told. */
    std::uint64_t started_ = 0;
    /** Rises with every announcement of one start; 0: in the order of arrival. */
    std::uint64_t sequence_ = 0;
};

/** One announced target. */
struct registered_target {
    target_announcement announcement_;
    target_record record_;
    instant lease_end_;
    bool drained_by_operator_ = false; ///< Whatever the target itself announces.
    bool has_left_ = false;            ///< It said so, and has not started again since.
};

/** The targets beside one node. */
class target_registry {
  public:
    /** \p incarnation rises with every start of the node; \p node_admin is where the node takes
     * operators' requests. */
    target_registry(std::string availability_zone, std::string node_address,
                    std::uint64_t incarnation, std::string node_admin = {});

    /** Takes an announcement; returns whether any record changed. One that was overtaken, by a
     * later one of the same start or by a later start at its address, changes nothing. A target
     * that has left stays away until its next start. Whatever stood at the address before is gone.
     */
    auto announce(const target_announcement& announcement, instant now) -> bool;

    /** The target called \p target, of whatever service, takes no work any more. Returns the
     * records that changed. */
    auto leave(const std::string& target) -> std::vector<target_record>;

    /** Ends leases that have run out; returns the records that changed. */
    auto expire(instant now) -> std::vector<target_record>;

    /** Answers news of this node's own targets that is later than what the node itself says: its
     * incarnation or sequence is raised above the news. Returns the records that changed. News of
     * a target that another node has taken over is left alone. */
    auto refute(const std::vector<target_record>& news) -> std::vector<target_record>;

    /** Returns, marked gone, the targets that \p heard says stand beside this node and that have
     * not announced themselves here: they stood here before the node started, and have ended or
     * made way for another. */
    [[nodiscard]] auto disown(const std::vector<target_record>& heard) const
        -> std::vector<target_record>;

    /** Makes every record later than any other process has it, after a move to another upstream:
     * so the upstream that was left learns that it keeps the leases no longer. */
    void renew();

    /** Marks every target as draining; returns the records that changed. */
    auto drain_all() -> std::vector<target_record>;

    /** An operator drains one target, or lets it take work again; an unknown one is an error. Lasts
     * until the node ends. Returns the records that changed. */
    auto drain_target(const std::string& service, const std::string& target, bool drained)
        -> result<std::vector<target_record>>;

    /** An operator drains the whole node, or lets it take work again: every target beside it, those
     * that come later included. Returns the records that changed. */
    auto drain_node(bool drained) -> std::vector<target_record>;

    [[nodiscard]] auto records() const -> std::vector<target_record>;
    [[nodiscard]] auto targets() const -> std::vector<registered_target>;

  private:
    [[nodiscard]] auto is_overtaken(const target_announcement& announcement) const -> bool;
    auto end_others_at(const target_announcement& announcement) -> bool;
    auto next_sequence() -> std::uint64_t;
    auto set_state(registered_target& target, target_state state) -> bool;
    [[nodiscard]] auto announced_state(const registered_target& target) const -> target_state;
    auto refresh(registered_target& target, std::vector<target_record>& changed) -> void;

    std::string availability_zone_;
    std::string node_address_;
    std::uint64_t incarnation_;
    std::string node_admin_;
    bool node_drained_ = false;
    std::uint64_t sequence_ = 0;
    std::map<std::pair<std::string, std::string>, registered_target> targets_;
};

} // namespace sycamorewinch
