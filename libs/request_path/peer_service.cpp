#include "request_path/peer_service.h"

#include "request_path/local_exchange.h"
#include "request_path/peer_exchange.h"
#include "request_path/peer_headers.h"

namespace sycamorewinch {

namespace {

/** With more unsent bytes than this, reading from the other side is paused. A response that waits
 * for the link so keeps its slot, which limits the number of bodies on the link. */
constexpr std::size_t high_water_bytes = call_window_bytes;

} // namespace

/** Connects one HTTP/2 stream to one local exchange. */
class peer_calls::peer_call : public std::enable_shared_from_this<peer_call> {
  public:
    peer_call(peer_calls& calls, const std::shared_ptr<h2_connection>& connection, stream_id stream)
        : calls_(calls), node_(calls.node_), connection_(connection), stream_(stream),
          key_(connection.get(), stream),
          client_(calls.targets_.guard(), client_kind::stream, [this](reclaim_reason) {
              const auto keep = shared_from_this();
              client_.leave();
              reclaim();
          })
    {
    }

    void start(target_connections& targets, const exchange_request& request)
    {
        ++node_.calls_in_flight();
        is_counted_ = true;
        request_ended_ = !request.head_.has_body_;
        client_.set_stage(request_ended_ ? client_stage::waiting : client_stage::sending, true);
        controls_ = start_local_exchange(node_, targets, request, make_exchange_hooks());
    }

    auto make_stream_hooks() -> stream_hooks
    {
        const auto self = shared_from_this();
        stream_hooks hooks;
        hooks.on_data_ = [self](std::string_view bytes) {
            self->client_.set_stage(client_stage::sending, true);
            self->controls_.write_(bytes);
            self->release_window(bytes.size());
        };
        hooks.on_end_ = [self] {
            self->request_ended_ = true;
            self->client_.set_stage(client_stage::waiting, true);
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

    /** Carries out a withdrawal by the node that sent the request, and answers it. */
    void withdraw()
    {
        end_early(make_refusal(refusal_reason::not_started_in_time),
                  make_refusal(refusal_reason::deadline_passed));
    }

  private:
    /** The node needs the memory that the call holds. */
    void reclaim()
    {
        auto may_have_run = make_refusal(refusal_reason::overloaded);
        may_have_run.outcome_ = request_outcome::unknown;
        end_early(make_refusal(refusal_reason::target_full), may_have_run);
    }

    /** Ends the exchange and answers with \p if_not_run if no byte was sent to the target, else
     * with \p otherwise. */
    void end_early(const refusal& if_not_run, const refusal& otherwise)
    {
        if (exchange_ended_ || !controls_.withdraw_) {
            return; // the response or refusal is already on its way
        }
        const bool has_not_run = controls_.withdraw_() == withdrawal::withdrawn;
        if (!has_not_run) {
            controls_.cancel_();
        }
        exchange_ended_ = true;
        if (has_responded_) {
            if (const auto connection = connection_.lock()) {
                connection->reset(stream_);
            }
            return;
        }
        respond(to_peer_refusal(has_not_run ? if_not_run : otherwise), true);
    }

    auto make_exchange_hooks() -> exchange_hooks
    {
        const auto self = shared_from_this();
        exchange_hooks hooks;
        hooks.on_load_report_ = [self](const target_load_report& report) {
            self->load_report_ = to_text(report);
        };
        hooks.on_response_ = [self](const message_head& head) {
            self->respond(to_peer_response(head), !head.has_body_);
        };
        hooks.on_body_ = [self](std::string_view bytes) {
            self->write(bytes, false);
        };
        hooks.on_end_ = [self] {
            self->exchange_ended_ = true;
            self->write({}, true);
        };
        hooks.on_refused_ = [self](const refusal& refusal) {
            self->exchange_ended_ = true;
            self->respond(to_peer_refusal(refusal), true);
        };
        hooks.on_truncated_ = [self] {
            self->exchange_ended_ = true;
            if (const auto connection = self->connection_.lock()) {
                connection->reset(self->stream_);
            }
        };
        hooks.on_writable_ = [self] {
            self->release_window(0);
        };
        return hooks;
    }

    void respond(header_list headers, bool ends_stream)
    {
        if (const auto connection = connection_.lock()) {
            body_open_ = !ends_stream;
            has_responded_ = true;
            if (!load_report_.empty()) {
                headers.push_back({std::string(target_status_header), load_report_});
            }
            connection->respond(stream_, headers, ends_stream);
        }
    }

    void write(std::string_view bytes, bool ends_stream)
    {
        const auto connection = connection_.lock();
        if (!connection || !body_open_) {
            return;
        }
        client_.set_stage(client_stage::sending, true);
        connection->write(stream_, bytes, ends_stream);
        if (!ends_stream && connection->queued_bytes(stream_) > high_water_bytes) {
            controls_.pause_(true);
        }
    }

    /** Reopens the sender's flow control window by all unconsumed bytes unless too many bytes wait
     * to be sent to the target. */
    void release_window(std::size_t received)
    {
        unconsumed_bytes_ += received;
        const auto connection = connection_.lock();
        if (connection && unconsumed_bytes_ > 0 &&
            (!controls_.queued_bytes_ || controls_.queued_bytes_() <= high_water_bytes)) {
            connection->consume(stream_, std::exchange(unconsumed_bytes_, 0));
        }
    }

    /** Returns whether both messages are complete, so that the exchange is about to end by itself.
     * The stream closes first if the response has no body. */
    [[nodiscard]] auto is_complete() const -> bool
    {
        return request_ended_ && has_responded_ && !body_open_;
    }

    void on_closed()
    {
        if (!exchange_ended_ && !is_complete() && controls_.cancel_) {
            controls_.cancel_();
        }
        if (std::exchange(is_counted_, false)) {
            --node_.calls_in_flight();
        }
        if (const auto connection = connection_.lock(); connection && unconsumed_bytes_ > 0) {
            connection->consume(stream_, std::exchange(unconsumed_bytes_, 0)); // of the connection
        }
        client_.leave();
        controls_ = {}; // breaks the reference cycle of call, exchange and hooks
        calls_.calls_.erase(key_);
    }

    peer_calls& calls_;
    node_state& node_;
    std::weak_ptr<h2_connection> connection_;
    stream_id stream_;
    call_key key_;
    guarded_client client_;
    std::string load_report_; ///< Value of target_status_header; empty until reported.
    exchange_controls controls_;
    bool request_ended_ = false;
    bool body_open_ = false;
    bool has_responded_ = false;
    bool exchange_ended_ = false;
    bool is_counted_ = false;          ///< Among the calls in flight of the node.
    std::size_t unconsumed_bytes_ = 0; ///< Received, but not yet given back to the window.
};

auto peer_calls::serve(const std::shared_ptr<h2_connection>& connection, stream_id stream,
                       const header_list& headers, bool ends_stream) -> stream_hooks
{
    if (const auto withdrawn = from_peer_withdrawal(headers)) {
        const auto found = calls_.find({connection.get(), *withdrawn});
        const auto call = found != calls_.end() ? found->second.lock() : nullptr;
        if (call) {
            call->withdraw();
        }
        connection->respond(stream, {{":status", "204"}}, true);
        return {};
    }
    if (is_quota_ask(headers)) {
        return serve_quota_ask(connection, stream, [this](const auto& ask, auto reply) {
            quotas_.answer(ask, std::move(reply));
        });
    }
    if (!ends_stream && targets_.guard() != nullptr &&
        !targets_.guard()->make_room(call_window_bytes, nullptr)) {
        targets_.guard()->record(reclaim_reason::memory);
        connection->respond(stream, to_peer_refusal(make_refusal(refusal_reason::target_full)),
                            true);
        return {};
    }
    const auto call = std::make_shared<peer_call>(*this, connection, stream);
    calls_[{connection.get(), stream}] = call;
    call->start(targets_, from_peer_request(headers, ends_stream));
    return call->make_stream_hooks();
}

} // namespace sycamorewinch
