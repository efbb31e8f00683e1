#include "daemon/run_record_service.h"

#include <QDateTime>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

namespace {

/** The direction of a message between two replicas: operations to the leader, results from it. */
enum class run_direction : std::uint8_t { operations, results };

auto wrap(run_direction direction, const std::string& body) -> std::string
{
    cbor_writer writer;
    writer.array(2).number(static_cast<std::uint64_t>(direction)).bytes(body);
    return writer.take();
}

} // namespace

run_record_service::run_record_service(metrics_registry& metrics, run_record_service_hooks hooks)
    : hooks_(std::move(hooks)), server_(metrics, [this] { dispatch_operations(); })
{
}

void run_record_service::dispatch_operations()
{
    const auto& raft = hooks_.replica_().raft_state();
    if (raft.role() == raft_role::leader) {
        propose();
    }
    else if (!raft.leader().empty()) {
        forward(raft.leader());
    }
    else {
        server_.forwarder().on_upstream_disconnected();
        server_.send_results();
    }
}

void run_record_service::propose()
{
    if (batch_in_flight_ || !server_.forwarder().has_operations()) {
        return;
    }
    batch_in_flight_ = true;
    const auto time = static_cast<std::uint64_t>(QDateTime::currentMSecsSinceEpoch());
    hooks_.replica_().apply_runs(
        {time, server_.forwarder().take_operations()},
        [this](const auto& results) { on_committed(results); }, monotonic_now());
}

void run_record_service::on_committed(const result<std::vector<run_result>>& results)
{
    batch_in_flight_ = false;
    if (results) {
        server_.forwarder().on_results(*results);
    }
    else {
        server_.forwarder().on_upstream_disconnected();
    }
    server_.send_results();
    if (results) {
        propose(); // the operations that arrived meanwhile
    }
}

void run_record_service::forward(const std::string& leader)
{
    while (server_.forwarder().has_operations()) {
        hooks_.send_(leader, wrap(run_direction::operations,
                                  encode_run_batch({0, server_.forwarder().take_operations()})));
    }
}

void run_record_service::receive(const std::string& from, std::string_view bytes)
{
    cbor_reader reader(bytes);
    reader.array(2);
    const auto direction = static_cast<run_direction>(reader.number());
    const auto body = reader.bytes();
    if (!reader.finish()) {
        return;
    }
    if (direction == run_direction::results) {
        if (const auto results = decode_run_results(body)) {
            server_.forwarder().on_results(*results);
            server_.send_results();
        }
        return;
    }
    if (auto batch = decode_run_batch(body)) {
        server_.receive(sender_of(from), std::move(batch->operations_));
    }
}

auto run_record_service::sender_of(const std::string& follower) -> run_sender_id
{
    const auto found = follower_senders_.find(follower);
    if (found != follower_senders_.end()) {
        return found->second;
    }
    const auto id = server_.add_sender([this, follower](const auto& results) {
        hooks_.send_(follower, wrap(run_direction::results, encode_run_results(results)));
    });
    follower_senders_[follower] = id;
    return id;
}

} // namespace sycamorewinch
