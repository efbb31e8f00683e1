#include "request_path/peer_service.h"

#include "request_path/local_exchange.h"
#include "request_path/peer_headers.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t high_water_bytes = 256U * 1024;

/** Joins one HTTP/2 stream to one local exchange. */
class peer_call : public std::enable_shared_from_this<peer_call> {
  public:
    peer_call(node_state& node, const std::shared_ptr<h2_connection>& connection, stream_id stream)
        : node_(node), connection_(connection), stream_(stream)
    {
    }

    void start(target_connections& targets, const exchange_request& request)
    {
        ++node_.calls_in_flight();
        counted_ = true;
        controls_ = start_local_exchange(node_, targets, request, make_exchange_hooks());
    }

    auto make_stream_hooks() -> stream_hooks
    {
        const auto self = shared_from_this();
        stream_hooks hooks;
        hooks.on_data_ = [self](std::string_view bytes) {
            self->controls_.write_(bytes);
            self->release(bytes.size());
        };
        hooks.on_end_ = [self] {
            self->controls_.finish_();
        };
        hooks.on_writable_ = [self] {
            self->controls_.pause_(false);
        };
        hooks.on_closed_ = [self](bool) {
            self->on_closed();
        };
        return hooks;
    }

  private:
    auto make_exchange_hooks() -> exchange_hooks
    {
        const auto self = shared_from_this();
        exchange_hooks hooks;
        hooks.on_status_ = [self](const target_load_report& status) {
            self->target_status_ = to_text(status);
        };
        hooks.on_response_ = [self](const message_head& head) {
            self->respond(to_peer_response(head), !head.has_body_);
        };
        hooks.on_body_ = [self](std::string_view bytes) {
            self->write(bytes, false);
        };
        hooks.on_end_ = [self] {
            self->done_ = true;
            self->write({}, true);
        };
        hooks.on_refused_ = [self](const refusal& refusal) {
            self->done_ = true;
            self->respond(to_peer_refusal(refusal), true);
        };
        hooks.on_broken_ = [self] {
            self->done_ = true;
            if (const auto connection = self->connection_.lock()) {
                connection->reset(self->stream_);
            }
        };
        hooks.on_writable_ = [self] {
            self->release(0);
        };
        return hooks;
    }

    void respond(header_list headers, bool last)
    {
        if (const auto connection = connection_.lock()) {
            body_open_ = !last;
            if (!target_status_.empty()) {
                headers.push_back({std::string(status_header), target_status_});
            }
            connection->respond(stream_, headers, last);
        }
    }

    void write(std::string_view bytes, bool last)
    {
        const auto connection = connection_.lock();
        if (!connection || !body_open_) {
            return;
        }
        connection->write(stream_, bytes, last);
        if (!last && connection->queued_bytes(stream_) > high_water_bytes) {
            controls_.pause_(true);
        }
    }

    // The sender's window opens again only when the target has taken the bytes.
    void release(std::size_t received)
    {
        unreleased_ += received;
        const auto connection = connection_.lock();
        if (connection && unreleased_ > 0 &&
            (!controls_.queued_bytes_ || controls_.queued_bytes_() <= high_water_bytes)) {
            connection->consume(stream_, std::exchange(unreleased_, 0));
        }
    }

    void on_closed()
    {
        if (!done_ && controls_.cancel_) {
            controls_.cancel_();
        }
        if (std::exchange(counted_, false)) {
            --node_.calls_in_flight();
        }
        controls_ = {}; // breaks the cycle of call, exchange and hooks
    }

    node_state& node_;
    std::weak_ptr<h2_connection> connection_;
    stream_id stream_;
    std::string target_status_; ///< How the target is doing.
    exchange_controls controls_;
    bool body_open_ = false;
    bool done_ = false;
    bool counted_ = false;
    std::size_t unreleased_ = 0;
};

} // namespace

auto serve_peer_call(node_state& node, target_connections& targets,
                     const std::shared_ptr<h2_connection>& connection, stream_id stream,
                     const header_list& headers, bool last) -> stream_hooks
{
    const auto call = std::make_shared<peer_call>(node, connection, stream);
    call->start(targets, from_peer_headers(headers, last));
    return call->make_stream_hooks();
}

} // namespace sycamorewinch
