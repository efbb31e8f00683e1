/** \file
 * A substitute for the node beside a target, whose answers are scripted.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <QTcpSocket>

#include "request_path/peer_headers.h"
#include "standin/loopback_socket.h"
#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

/** A request from another node, or its withdrawal. */
struct node_message {
    h2_connection& connection_;
    stream_id stream_;
    std::optional<stream_id> withdrawn_; ///< The stream that this message withdraws.

    /** Refuses the request on \p stream with the default outcome of \p reason. */
    void refuse(stream_id stream, refusal_reason reason) const
    {
        connection_.respond(stream, to_peer_refusal(make_refusal(reason)), true);
    }
};

/** Runs in the event loop of the thread that created it. */
class scripted_node {
  public:
    /** \p script is called for each message. */
    explicit scripted_node(std::function<void(const node_message& message)> script)
        : script_(std::move(script))
    {
        (void)wait_until([] { return true; }); // creates the Qt application object if need be
        auto listener = reuse_port_listener::listen(
            {"127.0.0.1", 0}, [this](auto socket) { accept(std::move(socket)); });
        listener_ = std::move(*listener);
    }
    scripted_node(const scripted_node&) = delete;
    auto operator=(const scripted_node&) -> scripted_node& = delete;
    scripted_node(scripted_node&&) = delete;
    auto operator=(scripted_node&&) -> scripted_node& = delete;
    ~scripted_node()
    {
        for (const auto& connection : connections_) {
            connection->close();
        }
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return to_text(peer_address{"127.0.0.1", listener_->port()});
    }
    /** Returns how many requests were received, without withdrawals. */
    [[nodiscard]] auto request_count() const -> std::size_t { return request_count_; }

  private:
    void accept(std::unique_ptr<QTcpSocket> socket)
    {
        connections_.insert(serve_peer(
            std::move(socket), *cluster_key::create("0123456789abcdef0123456789abcdef"),
            [this](const std::shared_ptr<h2_connection>& from, stream_id stream,
                   const header_list& headers, bool) {
                const auto withdrawn = from_peer_withdrawal(headers);
                request_count_ += withdrawn ? 0 : 1;
                script_({*from, stream, withdrawn});
                return stream_hooks();
            },
            [](connection_end_reason) {}));
    }

    std::function<void(const node_message& message)> script_;
    std::unique_ptr<reuse_port_listener> listener_;
    std::set<std::shared_ptr<h2_connection>> connections_;
    std::size_t request_count_ = 0;
};

} // namespace sycamorewinch
