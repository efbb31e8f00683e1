#include "request_path/node_worker.h"

#include <future>
#include <set>

#include <QObject>
#include <QTcpSocket>
#include <QThread>

#include "request_path/caller_call.h"
#include "request_path/peer_service.h"
#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

namespace {

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
          peers_(std::move(key)), environment_{node, targets_, peers_, system_random()}
    {
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
            return start_caller_call(environment_, self->lock(), std::move(head));
        };
        hooks.on_bad_request_ = [this, self](http1_problem problem) {
            const auto refusal = make_refusal(reason_of(problem));
            node_.unrouted().count_refusal(refusal.reason_);
            answer_refusal(*self->lock(), refusal, "");
        };
        hooks.on_closed_ = [this, self] {
            caller_connections_.erase(self->lock());
        };
        auto connection = http1_server_connection::create(std::move(socket), {}, std::move(hooks));
        *self = connection;
        caller_connections_.insert(std::move(connection));
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
            [this, self](connection_end) { peer_connections_.erase(self->lock()); });
        *self = connection;
        peer_connections_.insert(std::move(connection));
    }

    void begin_shutdown()
    {
        caller_listener_->close();
        const auto connections = caller_connections_;
        for (const auto& connection : connections) {
            connection->close_when_idle();
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
    if (loop_) {
        QMetaObject::invokeMethod(
            &loop_->context_, [this] { loop_.reset(); }, Qt::QueuedConnection);
    }
    QObject last;
    last.moveToThread(thread_.get());
    QMetaObject::invokeMethod(
        &last, [&] { last.moveToThread(nullptr); }, Qt::BlockingQueuedConnection);
    thread_->quit();
    thread_->wait();
}

void node_worker::begin_shutdown()
{
    QMetaObject::invokeMethod(
        &loop_->context_, [this] { loop_->begin_shutdown(); }, Qt::QueuedConnection);
}

} // namespace sycamorewinch
