#include "daemon/replica_links.h"

#include <set>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "control/membership_planner.h"
#include "event_loop/call_after.h"
#include "observability/log.h"

namespace sycamorewinch {

namespace {

constexpr auto redial_delay = std::chrono::milliseconds(200);
/** A dial that takes longer than several round trips between zones is probably waiting for TCP to
 * retransmit a SYN that was lost while the replica was down. */
constexpr duration stalled_dial_threshold = std::chrono::milliseconds(100);
constexpr std::size_t max_links = 64;
/** A replica must detect a silent link, and reconnect to a restarted replica, well within the time
 * of a few elections. */
constexpr connection_limits link_limits{.ping_interval_ = std::chrono::milliseconds(1'000),
                                        .heartbeat_timeout_ = std::chrono::milliseconds(2'500),
                                        .handshake_timeout_ = std::chrono::milliseconds(1'000)};
constexpr std::size_t max_queued_bytes = 16U * 1024 * 1024;

/** The payload type of a message between replicas. */
enum class replica_payload : std::uint8_t {
    raft,
    distribution,
    runs,
    join,
    leave,
    leave_granted,
};

auto wrap(replica_payload kind, const std::string& from, std::string_view body) -> std::string
{
    cbor_writer writer;
    writer.array(3).number(static_cast<std::uint64_t>(kind)).text(from).bytes(body);
    return writer.take();
}

} // namespace

replica_links::replica_links(const std::vector<control_peer>& peers, cluster_key key,
                             replica_link_hooks hooks)
    : has_fixed_membership_(!peers.empty()), key_(std::move(key)), hooks_(std::move(hooks))
{
    for (const auto& peer : peers) {
        links_[peer.name_].address_ = peer.address_;
    }
}

void replica_links::start(const std::string& self)
{
    self_ = self;
    links_.erase(self);
    for (const auto& [key, link] : links_) {
        dial(key);
    }
}

auto replica_links::link_key(const std::string& name) const -> std::string
{
    return has_fixed_membership_ ? name : replica_address_of(name);
}

void replica_links::connect_to(const std::vector<std::string>& names)
{
    std::set<std::string> wanted_keys;
    for (const auto& name : names) {
        wanted_keys.insert(link_key(name));
    }
    std::vector<std::shared_ptr<peer_client>> obsolete_clients;
    std::erase_if(links_, [&](auto& entry) {
        if (wanted_keys.contains(entry.first)) {
            return false;
        }
        obsolete_clients.push_back(std::move(entry.second.client_));
        return true;
    });
    for (const auto& client : obsolete_clients) {
        client->close();
    }
    for (const auto& key : wanted_keys) {
        static_cast<void>(find_or_dial(key));
    }
}

auto replica_links::find_or_dial(const std::string& key) -> bool
{
    if (links_.contains(key)) {
        return true;
    }
    const auto address = parse_peer_address(key);
    if (has_fixed_membership_ || !address || key == link_key(self_) || links_.size() >= max_links) {
        return false;
    }
    links_[key].address_ = *address;
    dial(key);
    return true;
}

void replica_links::dial(const std::string& key)
{
    auto& link = links_.at(key);
    const auto weak_client = std::make_shared<std::weak_ptr<peer_client>>();
    peer_client_hooks hooks;
    hooks.on_ready_ = [this, key] {
        open_channel(key);
    };
    hooks.on_ended_ = [this, key, weak_client](connection_end_reason) {
        if (const auto client = weak_client->lock()) {
            on_ended(key, *client);
        }
    };
    link.dial_started_at_ = monotonic_now();
    link.client_ = peer_client::dial(link.address_, key_, std::move(hooks), link_limits);
    *weak_client = link.client_;
}

void replica_links::on_ended(const std::string& key, const peer_client& client)
{
    const auto found = links_.find(key);
    if (found == links_.end() || found->second.client_.get() != &client) {
        return; // the link was removed or redialled meanwhile
    }
    hooks_.on_disconnected_(key);
    found->second.channel_.reset();
    call_after(redial_delay, context_, [this, key, ended_client = found->second.client_] {
        const auto link = links_.find(key);
        if (link != links_.end() && link->second.client_ == ended_client) {
            dial(key);
        }
    });
}

/** A message from a replica shows that it is up, so a dial that began while it was down is replaced
 * instead of waiting for its timeout. */
void replica_links::redial_if_stalled(const std::string& key)
{
    auto& link = links_.at(key);
    if (link.channel_ || monotonic_now() - link.dial_started_at_ < stalled_dial_threshold) {
        return;
    }
    const auto stalled = std::move(link.client_);
    dial(key);
    if (stalled) {
        stalled->close();
    }
}

void replica_links::open_channel(const std::string& key)
{
    auto& link = links_.at(key);
    channel_hooks hooks;
    hooks.on_message_ = [](std::string_view) {
    };
    hooks.on_closed_ = [client = std::weak_ptr(link.client_)] {
        if (const auto alive = client.lock()) {
            alive->close();
        }
    };
    auto channel =
        message_channel::open(link.client_->connection(), replica_path, {}, std::move(hooks));
    if (!channel) {
        link.client_->close();
        return;
    }
    link.channel_ = std::move(*channel);
    hooks_.on_connected_(key);
}

auto replica_links::accept(const std::shared_ptr<h2_connection>& connection, stream_id stream)
    -> stream_hooks
{
    const auto id = next_accepted_id_++;
    channel_hooks hooks;
    hooks.on_message_ = [this](std::string_view bytes) {
        on_message(bytes);
    };
    hooks.on_closed_ = [this, id] {
        accepted_channels_.erase(id);
    };
    stream_hooks stream_hooks;
    accepted_channels_[id] =
        message_channel::accept(connection, stream, std::move(hooks), stream_hooks);
    return stream_hooks;
}

void replica_links::on_message(std::string_view bytes)
{
    cbor_reader reader(bytes);
    reader.array(3);
    const auto kind = static_cast<replica_payload>(reader.number());
    const auto from = reader.text();
    const auto body = reader.bytes();
    const auto key = link_key(from);
    if (!reader.finish() || !find_or_dial(key)) {
        log_event(log_level::warning, "bad_replica_message", {{"from", from}});
        return;
    }
    redial_if_stalled(key);
    if (kind == replica_payload::join) {
        hooks_.on_join_(body);
        return;
    }
    if (kind == replica_payload::leave) {
        hooks_.on_leave_(body);
        return;
    }
    if (kind == replica_payload::leave_granted) {
        if (body == self_) { // not an earlier replica at this address
            hooks_.on_leave_granted_();
        }
        return;
    }
    const auto log_problem = [&from](const error& problem) {
        log_event(log_level::warning, "bad_replica_message",
                  {{"from", from}, {"reason", problem.message_}});
    };
    if (kind == replica_payload::raft) {
        if (const auto message = decode_raft_message(body)) {
            hooks_.on_raft_(*message);
        }
        else {
            log_problem(message.error());
        }
        return;
    }
    if (kind == replica_payload::runs) {
        hooks_.on_run_message_(key, body);
        return;
    }
    if (const auto message = decode_distribution_message(body, log_problem)) {
        hooks_.on_distribution_(key, *message);
    }
    else {
        log_problem(message.error());
    }
}

void replica_links::send(const raft_message& message)
{
    send_bytes(message.to_, wrap(replica_payload::raft, self_, encode_message(message)));
}

void replica_links::send(const std::string& to, const distribution_message& message)
{
    send_bytes(to, wrap(replica_payload::distribution, self_, encode_message(message)));
}

void replica_links::send_join(const std::string& to, const std::string& candidate)
{
    send_bytes(to, wrap(replica_payload::join, self_, candidate));
}

void replica_links::send_leave(const std::string& to, const std::string& member)
{
    send_bytes(to, wrap(replica_payload::leave, self_, member));
}

void replica_links::send_leave_granted(const std::string& to)
{
    send_bytes(to, wrap(replica_payload::leave_granted, self_, to));
}

void replica_links::send_run_message(const std::string& to, std::string_view bytes)
{
    send_bytes(to, wrap(replica_payload::runs, self_, bytes));
}

void replica_links::send_bytes(const std::string& to, std::string_view bytes)
{
    const auto found = links_.find(link_key(to));
    if (found == links_.end() || !found->second.channel_) {
        return;
    }
    const auto channel = found->second.channel_;
    if (channel->queued_bytes() < max_queued_bytes) { // Raft retransmits dropped messages
        channel->send(bytes);
    }
}

auto replica_links::other_replicas() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    names.reserve(links_.size());
    for (const auto& [name, link] : links_) {
        names.push_back(name);
    }
    return names;
}

} // namespace sycamorewinch
