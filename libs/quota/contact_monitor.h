/** \file
 * Whether this node is on the larger side of a partition. Only nodes that are may grant tokens, as
 * those on the other side have a holder of their own.
 *
 * Without doubt nothing is sent. A node is in doubt while another one has recently not answered, or
 * while its own proof of currency by the control group is old. It then asks a sample of the other
 * nodes for an answer. The proof alone would not do: nodes that are cut off from the control group
 * only still share their quotas with all others. Neither would the sample: most nodes may have
 * ended together.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "quota/holder_choice.h"
#include "quota/holder_reachability.h"
#include "quota/quota_hooks.h"

namespace sycamorewinch {

/** What is known of a node's contact with the others. */
enum class contact_state : std::uint8_t {
    confirmed,
    unknown, ///< In doubt, and no answer to it yet.
    lost,    ///< Neither most of the other nodes nor the control group answer.
};

/** Connects a contact_monitor with other nodes and with its own node. */
struct contact_hooks {
    send_ask_hook send_;
    /** Returns when the control group last proved this node's table current. */
    std::function<instant()> proved_at_;
    /** A proof that is older is no sign of contact. */
    duration max_proof_age_{};
    /** The contact was lost. */
    std::function<void()> on_lost_;
};

/** Watches the contact of one thread of a node. The callbacks given to send_ must not be called
 * after the monitor's destruction. */
class contact_monitor {
  public:
    contact_monitor(holder_reachability& reachability, contact_hooks hooks)
        : reachability_(reachability), hooks_(std::move(hooks))
    {
    }

    /** Returns the state at \p now; asks the other nodes if it is in doubt. */
    auto state(const quota_nodes& nodes, instant now) -> contact_state;

    /** Calls \p done with whether the contact is confirmed: at once, or when nodes that are asked
     * have answered or not. */
    void confirm(const quota_nodes& nodes, instant now,
                 std::function<void(bool is_confirmed, instant now)> done);

  private:
    /** One question to a sample of the other nodes. */
    struct round {
        std::uint64_t number_ = 0;
        std::size_t asked_ = 0;
        std::size_t answered_ = 0;
        std::size_t failed_ = 0;
        bool is_running_ = false;
    };

    [[nodiscard]] auto is_proof_recent(instant now) const -> bool;
    /** Returns whether a recent proof has arrived since the doubt began. */
    [[nodiscard]] auto is_proved_in_doubt(instant now) const -> bool;
    [[nodiscard]] auto is_confirmed_by_round(instant now) const -> bool;
    void start_round(const quota_nodes& nodes, instant now);
    void on_answer(std::uint64_t round_number, const std::string& address, bool is_answered,
                   instant now);
    void finish_round(bool is_positive, instant now);

    holder_reachability& reachability_;
    contact_hooks hooks_;
    round round_;
    std::optional<instant> round_started_at_;
    std::optional<instant> doubted_since_;
    std::optional<instant> confirmed_at_; ///< By a round.
    std::optional<instant> denied_at_;    ///< Likewise; unset after a confirmation.
    bool is_lost_ = false;
    std::vector<std::function<void(bool is_confirmed, instant now)>> waiting_;
};

} // namespace sycamorewinch
