/** \file
 * The record of unrepeatable requests in a control process: on the leader, one batch at a time
 * goes into the log while the next gathers; on a follower, operations pass to the leader.
 */
#pragma once

#include <functional>
#include <map>
#include <string>

#include "control/control_replica.h"
#include "daemon/run_channels.h"

namespace sycamorewinch {

/** How a control process reaches the log and the leader. */
struct run_leader_hooks {
    std::function<control_replica&()> replica_;
    /** Sends bytes for receive() of another replica. */
    std::function<void(const std::string& to, std::string_view bytes)> send_;
};

/** A control process's part in the record. */
class run_leader {
  public:
    run_leader(metrics_registry& metrics, run_leader_hooks hooks);

    auto accept(const std::shared_ptr<h2_connection>& connection, stream_id stream) -> stream_hooks
    {
        return server_.accept(connection, stream);
    }

    /** Takes what another replica sent by send_. */
    void receive(const std::string& from, std::string_view bytes);

  private:
    void pass_on();
    void propose();
    void forward(const std::string& leader);
    void on_committed(const result<std::vector<run_result>>& results);
    auto sender_of(const std::string& follower) -> run_sender;

    run_leader_hooks hooks_;
    run_server server_;
    std::map<std::string, run_sender> followers_;
    bool batch_in_flight_ = false;
};

} // namespace sycamorewinch
