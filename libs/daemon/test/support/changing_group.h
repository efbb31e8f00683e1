/** \file
 * A simulated control group whose machines are added, replaced and removed, under virtual time.
 * Each machine runs the logic of a control process: a replica on a disk in memory and its part in
 * the membership of the group. Machines also restart, lose their disks, are paused or cut off, as
 * far as the group must tolerate it. An operator keeps sending edits to the leader.
 *
 * \code
 * changing_group group({.seed_ = 7});
 * group.run_random_changes(std::chrono::seconds(120));
 * BOOST_TEST(group.violation().empty());
 * \endcode
 */
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "daemon/control_group.h"

namespace sycamorewinch::test {

/** The parameters of one run. */
struct changing_group_options {
    std::uint64_t seed_ = 1;
    unsigned tolerated_losses_ = 2;
    std::size_t founding_machines_ = 5;
    /** The time of a sync. A vote takes two: of its file and of the folder. */
    duration sync_time_{};
};

/** Selects a machine of the simulated group. */
using machine_id = std::size_t;

/** The simulated machines and the network between them. */
class changing_group {
  public:
    explicit changing_group(changing_group_options options);
    changing_group(const changing_group&) = delete;
    auto operator=(const changing_group&) -> changing_group& = delete;
    changing_group(changing_group&&) = delete;
    auto operator=(changing_group&&) -> changing_group& = delete;
    ~changing_group();

    /** Adds a machine with an empty disk. */
    auto add_machine() -> machine_id;
    /** Asks the process to end, kills it at the end of the grace period, and removes the machine.
     */
    void terminate(machine_id id);
    /** Asks the process to end and starts it again on the same disk. */
    void restart_gracefully(machine_id id);
    /** Ends the process and removes the machine without notice. */
    void remove_silently(machine_id id);
    /** Kills the process; it starts again on the same disk after \p down. */
    void kill(machine_id id, duration down);
    /** Kills the process; it starts again on an empty disk after \p down. */
    void lose_disk(machine_id id, duration down);
    /** Stops the process for \p time without ending it. */
    void pause(machine_id id, duration time);
    /** Cuts the machine off from all others for \p time. */
    void cut_off(machine_id id, duration time);

    /** Runs without further changes. Stops at a violation. */
    void run(duration time);
    /** Runs \p time with random changes, lets the group recover, and checks that it has. */
    void run_random_changes(duration time);
    /** Checks that there is a leader, that it accepts an edit, and that no accepted edit is lost.
     */
    void check_recovered();

    /** Returns the machine that leads, or nothing. */
    [[nodiscard]] auto leader() const -> std::optional<machine_id>;
    [[nodiscard]] auto voter_count() const -> std::size_t;
    [[nodiscard]] auto is_running(machine_id id) const -> bool;
    [[nodiscard]] auto accepted_count() const -> std::size_t { return accepted_.size(); }
    /** Returns how many changes of each kind were made, by name. */
    [[nodiscard]] auto changes() const -> const std::map<std::string, unsigned>&
    {
        return changes_;
    }
    /** Returns the longest time without a leader so far. */
    [[nodiscard]] auto longest_time_without_leader() const -> duration
    {
        return longest_time_without_leader_;
    }
    /** Returns the first violation with the trace that led to it, or an empty string. */
    [[nodiscard]] auto violation() const -> std::string;

  private:
    struct background_write {
        std::function<result<void>()> write_;
        std::function<void(const result<void>& outcome, instant now)> done_;
        instant due_{};
    };
    struct machine {
        std::string address_;
        durable_state disk_;
        std::string name_; ///< Empty while the disk is empty.
        std::unique_ptr<control_replica> replica_;
        std::unique_ptr<control_group> group_;
        std::optional<background_write> write_; ///< The one under way.
        instant next_maintenance_{};
        instant next_tick_{};
        instant running_since_{}; ///< End of the latest outage, or the first start.
        instant starts_at_{};     ///< While down: when the process starts.
        instant paused_until_{};
        instant cut_until_{};
        instant killed_at_{}; ///< While shutting down: the end of the grace period.
        bool is_down_ = true;
        bool is_leaving_ = false;
        bool is_removed_ = false;
        bool restarts_ = false; ///< Starts again after its graceful end.
        bool has_left_ = false; ///< Its graceful end is complete; the process ends soon.
        instant ends_at_{};     ///< Then: when.
    };
    struct join_message {
        std::string candidate_;
    };
    struct leave_message {
        std::string member_;
    };
    struct leave_granted_message {};
    using message_content =
        std::variant<raft_message, join_message, leave_message, leave_granted_message>;
    struct message {
        std::string from_; ///< Address of the sender.
        std::string to_;   ///< Name or address of the receiver.
        message_content content_;
    };

    void start(machine& machine);
    void end(machine& machine);
    void begin_leaving(machine& machine);
    void finish_leaving(machine& machine);
    void finish_write(machine& machine);
    [[nodiscard]] auto make_hooks(machine& machine) -> control_hooks;
    [[nodiscard]] auto seeds() const -> std::vector<peer_address>;
    void send(const machine& from, const std::string& to, message_content content);
    void deliver();
    void receive(machine& machine, const message& message);
    void step();
    void step_machine(machine& machine);
    void step_operator();
    void on_committed(const machine& machine, const log_entry& entry);
    void check_leaders();
    void check_progress();
    void make_random_change();
    [[nodiscard]] auto try_change(std::uint64_t kind) -> bool;
    [[nodiscard]] auto try_removal(bool is_silent) -> bool;
    [[nodiscard]] auto try_loss(std::uint64_t kind) -> bool;
    [[nodiscard]] auto is_lost(const machine& machine) const -> bool;
    [[nodiscard]] auto lost_count() const -> std::size_t;
    [[nodiscard]] auto silent_removal_count() const -> std::size_t;
    [[nodiscard]] auto ready_successor_count() const -> std::size_t;
    [[nodiscard]] auto undisturbed_machines() const -> std::vector<machine_id>;
    [[nodiscard]] auto pick(const std::vector<machine_id>& ids) const -> machine_id;
    [[nodiscard]] auto is_operable(const machine& machine) const -> bool;
    void record_change(const std::string& kind, machine_id id);
    void trace(std::string text);
    void fail(const std::string& text);

    changing_group_options options_;
    random_hook random_;
    instant now_{std::chrono::seconds(100)};
    std::deque<machine> machines_;
    std::multimap<instant, message> in_flight_;
    std::vector<instant> silent_removals_;
    std::size_t removed_count_ = 0;
    instant changed_at_ = now_; ///< Time of the latest change, or end of its outage.
    instant next_change_{};
    instant led_at_ = now_; ///< Latest time with a leader.
    instant accepted_at_ = now_;
    duration longest_time_without_leader_{};

    std::optional<accept_command> edit_; ///< The unanswered edit of the operator.
    instant next_edit_ = now_;
    std::size_t edit_count_ = 0;
    std::map<std::string, table_version> accepted_; ///< By edit id.
    std::map<std::uint64_t, log_entry> committed_;  ///< By index.
    std::map<std::uint64_t, std::string> leaders_;  ///< Names by term.
    std::map<std::string, unsigned> changes_;
    std::string violation_;
    std::deque<std::string> trace_;
};

} // namespace sycamorewinch::test
