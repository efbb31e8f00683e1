#include "request_path/node_worker.h"

#include <algorithm>
#include <future>
#include <set>
#include <utility>

#include <QObject>
#include <QTcpSocket>
#include <QThread>
#include <QTimer>

#include "request_path/caller_call.h"
#include "request_path/peer_service.h"
#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

namespace {

constexpr std::chrono::milliseconds grace_check_period{10};

/** A call that waits for a response must detect an unresponsive node while there is time to try
 * another one. */
auto outgoing_peer_limits(resource_guard* guard) -> connection_limits
{
    return {.ping_interval_ = std::chrono::milliseconds(400),
            .heartbeat_timeout_ = std::chrono::milliseconds(900),
            .handshake_timeout_ = std::chrono::milliseconds(500),
            .idle_timeout_ = std::chrono::milliseconds(30'000),
            .window_bytes_ = call_window_bytes,
            .guard_ = guard};
}

/** The idle limit is longer than that of the connecting side, which knows whether it still needs
 * the connection. */
auto incoming_peer_limits(resource_guard* guard) -> connection_limits
{
    return {.idle_timeout_ = std::chrono::milliseconds(60'000),
            .window_bytes_ = call_window_bytes,
            .guard_ = guard};
}

auto make_guard(const caller_limits& limits) -> std::unique_ptr<resource_guard>
{
    return limits.account_ == nullptr
               ? nullptr
               : std::make_unique<resource_guard>(*limits.account_, memory_use::calls,
                                                  limits.max_connections_, "callers");
}

auto refusal_reason_for(http1_parse_error problem) -> refusal_reason
{
    switch (problem) {
    case http1_parse_error::header_too_large:
        return refusal_reason::header_too_large;
    case http1_parse_error::body_too_large:
        return refusal_reason::body_too_large;
    default:
        return refusal_reason::bad_request;
    }
}

} // namespace

/** The state of the worker thread; created, used and destroyed in that thread. */
struct node_worker::thread_state {
    thread_state(node_state& node, cluster_key key)
        : node_(node), key_(key), guard_(make_guard(node.limits_of_callers())),
          targets_(http1_client_limits{.guard_ = guard_.get()}),
          peers_(std::move(key), outgoing_peer_limits(guard_.get())),
          environment_{node, targets_, peers_, quotas_, system_random(), guard_.get()}
    {
    }

    thread_state(const thread_state&) = delete;
    auto operator=(const thread_state&) -> thread_state& = delete;
    thread_state(thread_state&&) = delete;
    auto operator=(thread_state&&) -> thread_state& = delete;

    /** Ends every connection while the members that its hooks use still exist. */
    ~thread_state()
    {
        for (const auto& connection : std::set(caller_connections_)) {
            connection->abort();
        }
        for (const auto& connection : std::set(peer_connections_)) {
            connection->close();
        }
        end_grace_period();
    }

    auto listen(const node_addresses& requested) -> result<node_addresses>
    {
        auto callers = reuse_port_listener::listen(
            requested.callers_, [this](auto socket) { accept_caller(std::move(socket)); },
            client_receive_buffer_bytes);
        if (!callers) {
            return tl::unexpected(callers.error());
        }
        auto peers = reuse_port_listener::listen(
            requested.peers_, [this](auto socket) { accept_peer(std::move(socket)); });
        if (!peers) {
            return tl::unexpected(peers.error());
        }
        caller_listener_ = std::move(*callers);
        peer_listener_ = std::move(*peers);
        auto actual = requested;
        actual.callers_.port_ = caller_listener_->port();
        actual.peers_.port_ = peer_listener_->port();
        return actual;
    }

    void accept_caller(std::unique_ptr<QTcpSocket> socket)
    {
        if (guard_ && !guard_->admit_connection()) {
            socket->abort();
            return;
        }
        const auto self = std::make_shared<std::weak_ptr<http1_server_connection>>();
        server_connection_hooks hooks;
        hooks.on_request_ = [this, self](message_head head) {
            const auto connection = self->lock();
            connection->set_limits(connection_limits_of_callers());
            return start_caller_call(environment_, connection, std::move(head));
        };
        hooks.on_bad_request_ = [this, self](http1_parse_error problem) {
            const auto refusal = make_refusal(refusal_reason_for(problem));
            node_.unrouted().count_refusal(refusal.reason_);
            send_refusal(*self->lock(), node_.mapping(), refusal, "");
        };
        hooks.on_closed_ = [this, self] {
            caller_connections_.erase(self->lock());
        };
        auto connection = http1_server_connection::create(
            std::move(socket), connection_limits_of_callers(), std::move(hooks));
        *self = connection;
        caller_connections_.insert(std::move(connection));
    }

    /** Returns the limits on callers' connections: those of the table in force, or the defaults. */
    [[nodiscard]] auto connection_limits_of_callers() const -> http1_limits
    {
        http1_limits limits{.body_timeout_ = node_.limits_of_callers().body_timeout_,
                            .guard_ = guard_.get()};
        const auto table = node_.routes()->table_in_force();
        if (!table) {
            return limits;
        }
        const auto& bounds = table->bounds_;
        const auto value_or_default = [](auto value, auto fallback) {
            return value == decltype(value)() ? fallback : value;
        };
        limits.header_bytes_ = value_or_default(bounds.header_bytes_, limits.header_bytes_);
        limits.body_bytes_ = value_or_default(bounds.body_bytes_, limits.body_bytes_);
        limits.header_timeout_ = value_or_default(bounds.header_timeout_, limits.header_timeout_);
        limits.idle_timeout_ = value_or_default(bounds.idle_timeout_, limits.idle_timeout_);
        return limits;
    }

    void accept_peer(std::unique_ptr<QTcpSocket> socket)
    {
        const auto self = std::make_shared<std::weak_ptr<h2_connection>>();
        auto connection = serve_peer(
            std::move(socket), key_,
            [this](const std::shared_ptr<h2_connection>& from, stream_id stream,
                   const header_list& headers, bool ends_stream) {
                return peer_calls_.serve(from, stream, headers, ends_stream);
            },
            [this, self](connection_end_reason) { peer_connections_.erase(self->lock()); },
            incoming_peer_limits(guard_.get()));
        *self = connection;
        peer_connections_.insert(std::move(connection));
    }

    /** Closes the listeners and tells peers to send no new requests. A caller whose connection is
     * idle may be sending a request at this moment: requests that arrive within \p grace get a
     * response with `connection: close`. The thread counts as a call in flight until the grace
     * period has ended, all bytes for callers are sent, and the peers have closed their
     * connections, and have thus read all responses. */
    void begin_shutdown(std::chrono::milliseconds grace)
    {
        is_in_grace_period_ = true;
        caller_listener_->close();
        peer_listener_->close();
        for (const auto& connection : std::set(caller_connections_)) {
            connection->close_after_next_response();
        }
        for (const auto& connection : std::set(peer_connections_)) {
            connection->begin_shutdown();
        }
        QObject::connect(&grace_timer_, &QTimer::timeout, &context_, [this] {
            if (caller_connections_.empty() || monotonic_now() > grace_end_) {
                close_idle_callers();
                if (peer_connections_.empty() && !has_unsent_bytes()) {
                    end_grace_period();
                }
            }
        });
        grace_end_ = monotonic_now() + grace;
        grace_timer_.start(grace_check_period);
    }

    void close_idle_callers()
    {
        for (const auto& connection : std::set(caller_connections_)) {
            connection->close_when_idle();
        }
    }

    [[nodiscard]] auto has_unsent_bytes() const -> bool
    {
        return std::ranges::any_of(caller_connections_, [](const auto& connection) {
            return connection->queued_bytes() > 0;
        });
    }

    auto cut_calls() -> std::size_t
    {
        std::size_t calls = 0;
        for (const auto& connection : std::set(caller_connections_)) {
            connection->close_when_idle();
            calls += connection->end_request_time() ? 1 : 0;
        }
        for (const auto& connection : std::set(peer_connections_)) {
            calls += connection->open_streams();
            connection->close();
        }
        return calls;
    }

    void end_grace_period()
    {
        grace_timer_.stop();
        if (std::exchange(is_in_grace_period_, false)) {
            --node_.calls_in_flight();
        }
    }

    node_state& node_;
    cluster_key key_;
    std::unique_ptr<resource_guard> guard_; ///< Null: what callers hold is not counted.
    target_connections targets_;
    peer_connections peers_;
    worker_quotas quotas_{node_, peers_};
    peer_calls peer_calls_{node_, targets_, quotas_};
    call_environment environment_;
    std::unique_ptr<reuse_port_listener> caller_listener_;
    std::unique_ptr<reuse_port_listener> peer_listener_;
    std::set<std::shared_ptr<http1_server_connection>> caller_connections_;
    std::set<std::shared_ptr<h2_connection>> peer_connections_;
    QTimer grace_timer_;
    instant grace_end_{};
    bool is_in_grace_period_ = false;
    QObject context_; ///< Lives in the thread; receives calls from other threads.
};

auto node_worker::start(node_state& node, const cluster_key& key, const node_addresses& addresses)
    -> result<std::unique_ptr<node_worker>>
{
    std::unique_ptr<node_worker> worker(new node_worker());
    worker->thread_ = std::make_unique<QThread>();
    QObject thread_context;
    thread_context.moveToThread(worker->thread_.get());
    std::promise<result<node_addresses>> listening;
    worker->thread_->start();
    QMetaObject::invokeMethod(
        &thread_context,
        [&] {
            worker->thread_state_ = std::make_unique<thread_state>(node, key);
            listening.set_value(worker->thread_state_->listen(addresses));
            thread_context.moveToThread(nullptr);
        },
        Qt::BlockingQueuedConnection);
    auto actual = listening.get_future().get();
    if (!actual) {
        return tl::unexpected(actual.error());
    }
    worker->addresses_ = *actual;
    return worker;
}

node_worker::~node_worker()
{
    QObject thread_context;
    thread_context.moveToThread(thread_.get());
    const auto destroy_state = [&] {
        thread_state_.reset();
        thread_context.moveToThread(nullptr);
    };
    QMetaObject::invokeMethod(&thread_context, destroy_state, Qt::BlockingQueuedConnection);
    thread_->quit();
    thread_->wait();
}

void node_worker::begin_shutdown(std::chrono::milliseconds grace)
{
    if (std::exchange(is_shutting_down_, true)) {
        return;
    }
    // Counted here rather than in the worker thread: if no call is in flight at this moment, the
    // process would see an idle node and exit before the thread has told the peers.
    ++thread_state_->node_.calls_in_flight();
    QMetaObject::invokeMethod(
        &thread_state_->context_, [this, grace] { thread_state_->begin_shutdown(grace); },
        Qt::QueuedConnection);
}

auto node_worker::cut_calls() -> std::size_t
{
    std::size_t calls = 0;
    QMetaObject::invokeMethod(
        &thread_state_->context_, [&] { calls = thread_state_->cut_calls(); },
        Qt::BlockingQueuedConnection);
    return calls;
}

} // namespace sycamorewinch
