#include "request_path/node_worker.h"

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

/** A call that waits for an answer must notice a node that is gone while there is time to try
 * another. */
constexpr connection_limits caller_side_limits{.ping_after_ = std::chrono::milliseconds(400),
                                               .silent_after_ = std::chrono::milliseconds(900),
                                               .ready_within_ = std::chrono::milliseconds(500),
                                               .idle_after_ = std::chrono::milliseconds(30'000)};
/** Longer than the caller's side, which knows whether it needs the connection. */
constexpr connection_limits target_side_limits{.idle_after_ = std::chrono::milliseconds(60'000)};

auto reason_of(http1_problem problem) -> refusal_reason
{
    switch (problem) {
    case http1_problem::header_too_large:
        return refusal_reason::header_too_large;
    case http1_problem::body_too_large:
        return refusal_reason::body_too_large;
    default:
        return refusal_reason::bad_request;
    }
}

} // namespace

/** What lives in the thread; made and destroyed there. */
struct node_worker::loop {
    loop(node_state& node, cluster_key key)
        : node_(node), key_(key),
          peers_(std::move(key), caller_side_limits), environment_{node, targets_, peers_,
                                                                   system_random()}
    {
    }

    loop(const loop&) = delete;
    auto operator=(const loop&) -> loop& = delete;
    loop(loop&&) = delete;
    auto operator=(loop&&) -> loop& = delete;

    /** Ends every connection while all that their hooks use is still there. */
    ~loop()
    {
        for (const auto& connection : std::set(caller_connections_)) {
            connection->abort();
        }
        for (const auto& connection : std::set(peer_connections_)) {
            connection->close();
        }
        end_grace();
    }

    auto listen(const node_addresses& wanted) -> result<node_addresses>
    {
        auto callers = reuse_port_listener::listen(
            wanted.callers_, [this](auto socket) { accept_caller(std::move(socket)); });
        if (!callers) {
            return tl::unexpected(callers.error());
        }
        auto peers = reuse_port_listener::listen(
            wanted.peers_, [this](auto socket) { accept_peer(std::move(socket)); });
        if (!peers) {
            return tl::unexpected(peers.error());
        }
        caller_listener_ = std::move(*callers);
        peer_listener_ = std::move(*peers);
        auto actual = wanted;
        actual.callers_.port_ = caller_listener_->port();
        actual.peers_.port_ = peer_listener_->port();
        return actual;
    }

    void accept_caller(std::unique_ptr<QTcpSocket> socket)
    {
        const auto self = std::make_shared<std::weak_ptr<http1_server_connection>>();
        server_connection_hooks hooks;
        hooks.on_request_ = [this, self](message_head head) {
            const auto connection = self->lock();
            connection->set_limits(caller_limits());
            return start_caller_call(environment_, connection, std::move(head));
        };
        hooks.on_bad_request_ = [this, self](http1_problem problem) {
            const auto refusal = make_refusal(reason_of(problem));
            node_.unrouted().count_refusal(refusal.reason_);
            answer_refusal(*self->lock(), node_.mapping(), refusal, "");
        };
        hooks.on_closed_ = [this, self] {
            caller_connections_.erase(self->lock());
        };
        auto connection =
            http1_server_connection::create(std::move(socket), caller_limits(), std::move(hooks));
        *self = connection;
        caller_connections_.insert(std::move(connection));
    }

    /** Returns the bounds of the table in force, where it has any, on callers' connections. */
    [[nodiscard]] auto caller_limits() const -> http1_limits
    {
        http1_limits limits;
        const auto table = node_.routes()->table_in_force();
        if (!table) {
            return limits;
        }
        const auto& bounds = table->bounds_;
        const auto unless_zero = [](auto wanted, auto usual) {
            return wanted == decltype(wanted)() ? usual : wanted;
        };
        limits.header_bytes_ = unless_zero(bounds.header_bytes_, limits.header_bytes_);
        limits.body_bytes_ = unless_zero(bounds.body_bytes_, limits.body_bytes_);
        limits.header_timeout_ = unless_zero(bounds.header_timeout_, limits.header_timeout_);
        limits.idle_timeout_ = unless_zero(bounds.idle_timeout_, limits.idle_timeout_);
        return limits;
    }

    void accept_peer(std::unique_ptr<QTcpSocket> socket)
    {
        const auto self = std::make_shared<std::weak_ptr<h2_connection>>();
        auto connection = serve_peer(
            std::move(socket), key_,
            [this](const std::shared_ptr<h2_connection>& from, stream_id stream,
                   const header_list& headers, bool last) {
                return serve_peer_call(node_, targets_, from, stream, headers, last);
            },
            [this, self](connection_end) { peer_connections_.erase(self->lock()); },
            target_side_limits);
        *self = connection;
        peer_connections_.insert(std::move(connection));
    }

    /** Closes the listeners and tells peers to send nothing new. Callers whose connections are
     * idle may be sending a request at this moment: they are answered for \p grace, with
     * `connection: close`. The node counts as busy until then, and until peers have closed their
     * connections: they have read all answers. */
    void begin_shutdown(std::chrono::milliseconds grace)
    {
        in_grace_ = true;
        caller_listener_->close();
        peer_listener_->close();
        for (const auto& connection : std::set(caller_connections_)) {
            connection->close_after_next_answer();
        }
        for (const auto& connection : std::set(peer_connections_)) {
            connection->begin_shutdown();
        }
        QObject::connect(&grace_timer_, &QTimer::timeout, &context_, [this] {
            if (caller_connections_.empty() || monotonic_now() > grace_end_) {
                close_idle_callers();
                if (peer_connections_.empty()) {
                    end_grace();
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

    void end_grace()
    {
        grace_timer_.stop();
        if (std::exchange(in_grace_, false)) {
            --node_.calls_in_flight();
        }
    }

    node_state& node_;
    cluster_key key_;
    target_connections targets_;
    peer_connections peers_;
    call_environment environment_;
    std::unique_ptr<reuse_port_listener> caller_listener_;
    std::unique_ptr<reuse_port_listener> peer_listener_;
    std::set<std::shared_ptr<http1_server_connection>> caller_connections_;
    std::set<std::shared_ptr<h2_connection>> peer_connections_;
    QTimer grace_timer_;
    instant grace_end_{};
    bool in_grace_ = false;
    QObject context_; ///< Lives in the thread, for calls from others.
};

auto node_worker::start(node_state& node, const cluster_key& key, const node_addresses& addresses)
    -> result<std::unique_ptr<node_worker>>
{
    std::unique_ptr<node_worker> worker(new node_worker());
    worker->thread_ = std::make_unique<QThread>();
    QObject starter;
    starter.moveToThread(worker->thread_.get());
    std::promise<result<node_addresses>> listening;
    worker->thread_->start();
    QMetaObject::invokeMethod(
        &starter,
        [&] {
            worker->loop_ = std::make_unique<loop>(node, key);
            listening.set_value(worker->loop_->listen(addresses));
            starter.moveToThread(nullptr);
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
    QObject last;
    last.moveToThread(thread_.get());
    const auto end_loop = [&] {
        loop_.reset();
        last.moveToThread(nullptr);
    };
    QMetaObject::invokeMethod(&last, end_loop, Qt::BlockingQueuedConnection);
    thread_->quit();
    thread_->wait();
}

void node_worker::begin_shutdown(std::chrono::milliseconds grace)
{
    if (std::exchange(is_leaving_, true)) {
        return;
    }
    // Noted here and not in the loop: between two calls the node would be taken for idle, and
    // ended, before the loop has told its peers.
    ++loop_->node_.calls_in_flight();
    QMetaObject::invokeMethod(
        &loop_->context_, [this, grace] { loop_->begin_shutdown(grace); }, Qt::QueuedConnection);
}

} // namespace sycamorewinch
