/** \file
 * The record of unrepeatable requests in a control process. The leader appends one batch of
 * operations at a time to the Raft log while the next batch accumulates; a follower forwards
 * operations to the leader.
 */
#pragma once

#include <functional>
#include <map>
#include <string>

#include "control/control_replica.h"
#include "daemon/run_channels.h"

namespace sycamorewinch {

/** Access to the Raft log and to other replicas. */
struct run_record_service_hooks {
    std::function<control_replica&()> replica_;
    /** Sends bytes to receive() of another replica. */
    std::function<void(const std::string& to, std::string_view bytes)> send_;
};

/** Receives operations from nodes, relays and followers, and returns their results. */
class run_record_service {
  public:
    run_record_service(metrics_registry& metrics, run_record_service_hooks hooks);

    auto accept(const std::shared_ptr<h2_connection>& connection, stream_id stream) -> stream_hooks
    {
        return server_.accept(connection, stream);
    }

    /** Handles bytes that another replica sent through send_. */
    void receive(const std::string& from, std::string_view bytes);

  private:
    void dispatch_operations();
    void propose();
    void forward(const std::string& leader);
    void on_committed(const result<std::vector<run_result>>& results);
    auto sender_of(const std::string& follower) -> run_sender_id;

    run_record_service_hooks hooks_;
    run_server server_;
    std::map<std::string, run_sender_id> follower_senders_;
    bool batch_in_flight_ = false;
};

} // namespace sycamorewinch
