#include "daemon/peer_listener.h"

#include <QTcpSocket>

namespace sycamorewinch {

peer_listener::peer_listener(cluster_key key, metrics_registry& metrics)
    : key_(std::move(key)), metrics_(metrics)
{
}

void peer_listener::handle(std::string_view path, path_handler handler)
{
    handlers_[std::string(path)] = std::move(handler);
}

auto peer_listener::listen(const peer_address& address) -> result<void>
{
    auto listener = reuse_port_listener::listen(
        address, [this](std::unique_ptr<QTcpSocket> socket) { accept(std::move(socket)); });
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    listener_ = std::move(*listener);
    return {};
}

void peer_listener::accept(std::unique_ptr<QTcpSocket> socket)
{
    const auto weak_connection = std::make_shared<std::weak_ptr<h2_connection>>();
    const auto on_request = [this](const std::shared_ptr<h2_connection>& connection,
                                   stream_id stream, const header_list& headers, bool) {
        const auto found = handlers_.find(find_header(headers, ":path"));
        if (found == handlers_.end()) {
            connection->respond(stream, {{":status", "404"}}, true);
            return stream_hooks();
        }
        return found->second(connection, stream);
    };
    const auto on_ended = [this, weak_connection](connection_end_reason reason) {
        metrics_
            .count("sycamorewinch_peer_connections_ended_total",
                   "Ended connections from other processes, by reason.",
                   {{"reason", connection_end_reason_names.name(reason)}})
            .add();
        connections_.erase(weak_connection->lock());
    };
    auto connection = serve_peer(std::move(socket), key_, on_request, on_ended);
    *weak_connection = connection;
    connections_.insert(std::move(connection));
}

} // namespace sycamorewinch
