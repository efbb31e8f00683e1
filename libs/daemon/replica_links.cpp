#include "daemon/replica_links.h"

#include <set>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "control/membership_planner.h"
#include "observability/log.h"

namespace sycamorewinch {

namespace {

constexpr auto redial_after = std::chrono::milliseconds(200);
/** A dial that takes longer than several round trips between zones may wait for a packet that was
 * lost because the replica was down. */
constexpr duration hanging_after = std::chrono::milliseconds(100);
constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_links = 64;
/** A replica must notice a silent link, and one that came back, well within a few elections. */
constexpr connection_limits link_limits{.ping_after_ = std::chrono::milliseconds(1'000),
                                        .silent_after_ = std::chrono::milliseconds(2'500),
                                        .ready_within_ = std::chrono::milliseconds(1'000)};
constexpr std::size_t max_body_bytes = 64U * 1024 * 1024;
constexpr std::size_t max_queued_bytes = 16U * 1024 * 1024;

/** What a replica's message carries. */
enum class replica_payload : std::uint8_t { raft, distribution, runs, join };

auto wrap(replica_payload kind, const std::string& from, std::string_view body) -> std::string
{
    cbor_writer writer;
    writer.array(3).number(static_cast<std::uint64_t>(kind)).text(from).bytes(body);
    return writer.take();
}

} // namespace

replica_links::replica_links(const std::vector<control_peer>& peers, cluster_key key,
                             replica_link_hooks hooks)
    : is_fixed_(!peers.empty()), key_(std::move(key)), hooks_(std::move(hooks))
{
    for (const auto& peer : peers) {
        links_[peer.name_].address_ = peer.address_;
    }
}

void replica_links::start(const std::string& self)
{
    self_ = self;
    links_.erase(self);
    for (const auto& [name, link] : links_) {
        dial(name);
    }
}

auto replica_links::key_of(const std::string& name) const -> std::string
{
    return is_fixed_ ? name : replica_address_of(name);
}

void replica_links::connect_to(const std::vector<std::string>& names)
{
    std::set<std::string> wanted;
    for (const auto& name : names) {
        wanted.insert(key_of(name));
    }
    std::vector<std::shared_ptr<peer_client>> unwanted;
    std::erase_if(links_, [&](auto& one) {
        if (wanted.contains(one.first)) {
            return false;
        }
        unwanted.push_back(std::move(one.second.client_));
        return true;
    });
    for (const auto& client : unwanted) {
        client->close();
    }
    for (const auto& key : wanted) {
        static_cast<void>(find_or_dial(key));
    }
}

auto replica_links::find_or_dial(const std::string& key) -> bool
{
    if (links_.contains(key)) {
        return true;
    }
    const auto address = parse_peer_address(key);
    if (is_fixed_ || !address || key == key_of(self_) || links_.size() >= max_links) {
        return false;
    }
    links_[key].address_ = *address;
    dial(key);
    return true;
}

void replica_links::dial(const std::string& name)
{
    auto& link = links_.at(name);
    const auto self = std::make_shared<std::weak_ptr<peer_client>>();
    peer_client_hooks hooks;
    hooks.on_ready_ = [this, name] {
        open_channel(name);
    };
    hooks.on_ended_ = [this, name, self](connection_end) {
        if (const auto client = self->lock()) {
            on_ended(name, *client);
        }
    };
    link.dialled_at_ = monotonic_now();
    link.client_ = peer_client::dial(link.address_, key_, std::move(hooks), link_limits);
    *self = link.client_;
}

void replica_links::on_ended(const std::string& name, const peer_client& client)
{
    const auto found = links_.find(name);
    if (found == links_.end() || found->second.client_.get() != &client) {
        return; // let go of or replaced meanwhile
    }
    hooks_.on_disconnected_(name);
    found->second.channel_.reset();
    QTimer::singleShot(redial_after, &context_, [this, name, was = found->second.client_] {
        const auto link = links_.find(name);
        if (link != links_.end() && link->second.client_ == was) {
            dial(name);
        }
    });
}

/** A replica that speaks can be reached now: a dial from before it was up need not time out. */
void replica_links::redial_if_hanging(const std::string& name)
{
    auto& link = links_.at(name);
    if (link.channel_ || monotonic_now() - link.dialled_at_ < hanging_after) {
        return;
    }
    const auto hanging = std::move(link.client_);
    dial(name);
    if (hanging) {
        hanging->close();
    }
}

void replica_links::open_channel(const std::string& name)
{
    auto& link = links_.at(name);
    channel_hooks hooks;
    hooks.on_message_ = [](std::string_view) {
    };
    hooks.on_closed_ = [client = std::weak_ptr(link.client_)] {
        if (const auto open = client.lock()) {
            open->close();
        }
    };
    auto channel =
        message_channel::open(link.client_->connection(), replica_path, {}, std::move(hooks));
    if (!channel) {
        link.client_->close();
        return;
    }
    link.channel_ = std::move(*channel);
    hooks_.on_connected_(name);
}

auto replica_links::accept(const std::shared_ptr<h2_connection>& connection, stream_id stream)
    -> stream_hooks
{
    const auto id = next_accepted_++;
    channel_hooks hooks;
    hooks.on_message_ = [this](std::string_view bytes) {
        on_message(bytes);
    };
    hooks.on_closed_ = [this, id] {
        accepted_.erase(id);
    };
    stream_hooks stream_hooks;
    accepted_[id] = message_channel::accept(connection, stream, std::move(hooks), stream_hooks);
    return stream_hooks;
}

void replica_links::on_message(std::string_view bytes)
{
    cbor_reader reader(bytes);
    reader.array(3);
    const auto kind = static_cast<replica_payload>(reader.number());
    const auto from = reader.text(max_name_length);
    const auto body = reader.bytes(max_body_bytes);
    const auto key = key_of(from);
    if (!reader.finish() || !find_or_dial(key)) {
        log_event(log_level::warning, "bad_replica_message", {{"from", from}});
        return;
    }
    redial_if_hanging(key);
    if (kind == replica_payload::join) {
        hooks_.on_join_(body);
        return;
    }
    if (kind == replica_payload::raft) {
        if (const auto message = decode_raft_message(body)) {
            hooks_.on_raft_(*message);
        }
        return;
    }
    if (kind == replica_payload::runs) {
        hooks_.on_runs_(key, body);
        return;
    }
    if (const auto message = decode_distribution_message(body)) {
        hooks_.on_distribution_(key, *message);
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

void replica_links::send_runs(const std::string& to, std::string_view bytes)
{
    send_bytes(to, wrap(replica_payload::runs, self_, bytes));
}

void replica_links::send_bytes(const std::string& to, std::string_view bytes)
{
    const auto found = links_.find(key_of(to));
    if (found == links_.end() || !found->second.channel_) {
        return;
    }
    const auto channel = found->second.channel_;
    if (channel->queued_bytes() < max_queued_bytes) { // consensus sends again what is dropped
        channel->send(bytes);
    }
}

auto replica_links::others() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    names.reserve(links_.size());
    for (const auto& [name, link] : links_) {
        names.push_back(name);
    }
    return names;
}

} // namespace sycamorewinch
