#include "request_path/peer_exchange.h"

#include <utility>

#include "request_path/peer_headers.h"

namespace sycamorewinch {

namespace {

/** The number of calls that may wait for one connection to open; further calls are refused. */
constexpr std::size_t max_waiting_calls = 256;

} // namespace

peer_connections::~peer_connections()
{
    for (const auto& [address, entry] : std::exchange(entries_, {})) {
        if (entry.client_) {
            entry.client_->close();
        }
    }
    for (const auto& client : std::exchange(replaced_, {})) {
        client->close();
    }
}

void peer_connections::with_connection(const peer_address& address,
                                       std::function<void(h2_connection*)> callback)
{
    auto& entry = entries_[address];
    if (entry.client_ && entry.client_->is_ready()) {
        callback(&entry.client_->connection());
        return;
    }
    if (entry.waiting_calls_.size() >= max_waiting_calls) {
        callback(nullptr);
        return;
    }
    entry.waiting_calls_.push_back(std::move(callback));
    const bool is_opening =
        entry.client_ && entry.client_->is_open() && !entry.client_->is_established();
    if (!is_opening) {
        dial(address);
    }
}

void peer_connections::dial(const peer_address& address)
{
    auto& entry = entries_[address];
    std::erase_if(replaced_, [](const auto& client) { return !client->is_open(); });
    if (entry.client_ && entry.client_->is_open()) {
        replaced_.push_back(std::move(entry.client_));
    }
    const auto generation = ++entry.generation_;
    peer_client_hooks hooks;
    hooks.on_ready_ = [this, address, generation] {
        notify_waiting(address, generation, true);
    };
    hooks.on_ended_ = [this, address, generation](connection_end_reason) {
        notify_waiting(address, generation, false);
    };
    entry.client_ = peer_client::dial(address, key_, std::move(hooks), limits_);
}

void peer_connections::notify_waiting(const peer_address& address, std::uint64_t generation,
                                      bool ready)
{
    const auto found = entries_.find(address);
    if (found == entries_.end() || found->second.generation_ != generation) {
        return; // the connection has been replaced
    }
    const auto client = found->second.client_;
    const auto waiting = std::exchange(found->second.waiting_calls_, {});
    for (const auto& callback : waiting) {
        callback(ready && client->is_ready() ? &client->connection() : nullptr);
    }
}

namespace {

/** A request to a target through another node, and its response. Shared by the hooks of the stream
 * and the controls. */
class peer_exchange : public std::enable_shared_from_this<peer_exchange> {
  public:
    peer_exchange(const exchange_request& request, exchange_hooks hooks, resource_guard* guard)
        : headers_(to_peer_request(request)), created_at_(monotonic_now()),
          has_body_(request.head_.has_body_), hooks_(std::move(hooks)), pending_charge_(guard)
    {
    }

    void start(h2_connection* connection)
    {
        if (ended_) {
            return;
        }
        if (connection == nullptr) {
            refuse(make_refusal(refusal_reason::target_unreachable));
            return;
        }
        reduce_times_left(headers_, std::chrono::duration_cast<std::chrono::milliseconds>(
                                        monotonic_now() - created_at_));
        const auto stream = connection->request(headers_, !has_body_, make_hooks());
        if (!stream) {
            refuse(make_refusal(refusal_reason::target_unreachable));
            return;
        }
        connection_ = connection->weak_from_this();
        stream_ = *stream;
        if (has_body_ && (!pending_body_.empty() || pending_finish_)) {
            connection->write(stream_, std::exchange(pending_body_, {}), pending_finish_);
            pending_charge_.set(0);
        }
    }

    void write(std::string_view bytes, bool ends_stream)
    {
        body_finished_ = body_finished_ || ends_stream;
        const auto connection = connection_.lock();
        if (connection) {
            connection->write(stream_, bytes, ends_stream);
            return;
        }
        pending_body_ += bytes;
        pending_charge_.set(pending_body_.size());
        pending_finish_ = pending_finish_ || ends_stream;
    }

    void cancel()
    {
        ended_ = true;
        release();
    }

    /** Cancels the request if it was not passed to the socket; otherwise asks the other node to
     * withdraw it. */
    auto withdraw() -> withdrawal
    {
        if (ended_ || responded_) {
            return withdrawal::may_have_run;
        }
        const auto connection = connection_.lock();
        const bool waits_for_connection = stream_ == 0;
        if (waits_for_connection || (connection && connection->reset_if_unsent(stream_))) {
            ended_ = true;
            return withdrawal::withdrawn;
        }
        return connection && connection->request(to_peer_withdrawal(stream_), true, {})
                   ? withdrawal::pending
                   : withdrawal::may_have_run;
    }

    void pause(bool paused)
    {
        paused_ = paused;
        if (!paused && unconsumed_bytes_ > 0) {
            consume(std::exchange(unconsumed_bytes_, 0));
        }
    }

    [[nodiscard]] auto queued_bytes() const -> std::size_t
    {
        const auto connection = connection_.lock();
        return connection ? connection->queued_bytes(stream_) : pending_body_.size();
    }

  private:
    auto make_hooks() -> stream_hooks
    {
        const auto self = shared_from_this();
        stream_hooks hooks;
        hooks.on_headers_ = [self](const header_list& headers, bool ends_stream) {
            self->on_headers(headers, ends_stream);
        };
        hooks.on_data_ = [self](std::string_view bytes) {
            self->on_data(bytes);
        };
        hooks.on_writable_ = [self] {
            if (!self->ended_ && self->hooks_.on_writable_) {
                self->hooks_.on_writable_();
            }
        };
        hooks.on_end_ = [self] {
            self->on_response_end();
        };
        hooks.on_refused_ = [self] {
            if (!self->ended_) {
                self->refuse(make_refusal(refusal_reason::target_unreachable));
            }
        };
        hooks.on_closed_ = [self](bool complete) {
            self->on_closed(complete);
        };
        return hooks;
    }

    void on_headers(const header_list& headers, bool ends_stream)
    {
        if (ended_) {
            return;
        }
        const auto load_report =
            parse_target_load_report(find_header(headers, target_status_header));
        if (load_report && hooks_.on_load_report_) {
            hooks_.on_load_report_(*load_report);
        }
        if (const auto refusal = from_peer_refusal(headers)) {
            is_response_complete_ = ends_stream;
            refuse(*refusal);
            return;
        }
        auto head = from_peer_response(headers, ends_stream);
        if (!is_final_status(head.status_)) {
            refuse(make_refusal(refusal_reason::target_failed));
            return;
        }
        responded_ = true;
        hooks_.on_response_(std::move(head));
    }

    void on_data(std::string_view bytes)
    {
        if (ended_) {
            consume(bytes.size());
            return;
        }
        if (paused_) {
            unconsumed_bytes_ += bytes.size();
        }
        else {
            consume(bytes.size());
        }
        hooks_.on_body_(bytes);
    }

    /** The response is complete. If the target sent it before the end of the request's body, the
     * stream is reset. */
    void on_response_end()
    {
        is_response_complete_ = true;
        if (ended_ || !responded_) {
            return;
        }
        ended_ = true;
        release();
        hooks_.on_end_();
    }

    void on_closed(bool complete)
    {
        if (ended_) {
            return;
        }
        if (!responded_) {
            // The other node may have sent the request to its target before the stream was lost.
            refuse(make_refusal(refusal_reason::target_failed));
            return;
        }
        ended_ = true;
        release();
        if (complete) {
            hooks_.on_end_();
        }
        else {
            hooks_.on_truncated_();
        }
    }

    void refuse(const refusal& refusal)
    {
        ended_ = true;
        release();
        hooks_.on_refused_(refusal);
    }

    /** Gives back what the ended exchange holds at both ends of the link: the receive window, the
     * unsent part of the body and, unless both messages are complete, the stream. */
    void release()
    {
        pending_body_ = {};
        pending_charge_.set(0);
        if (unconsumed_bytes_ > 0) {
            consume(std::exchange(unconsumed_bytes_, 0));
        }
        const auto connection = connection_.lock();
        if (connection && !(is_response_complete_ && (body_finished_ || !has_body_))) {
            connection->reset(stream_);
        }
    }

    void consume(std::size_t count)
    {
        if (const auto connection = connection_.lock()) {
            connection->consume(stream_, count);
        }
    }

    header_list headers_;
    instant created_at_; ///< The times left in headers_ are those of this time.
    bool has_body_;
    exchange_hooks hooks_;
    std::weak_ptr<h2_connection> connection_;
    stream_id stream_ = 0;
    std::string pending_body_;     ///< Written before the connection was ready.
    memory_charge pending_charge_; ///< For pending_body_.
    bool pending_finish_ = false;  ///< The body ended before the connection was ready.
    bool body_finished_ = false;   ///< The end of the request's body was written.
    bool responded_ = false;
    bool is_response_complete_ = false;
    bool ended_ = false;
    bool paused_ = false;
    std::size_t unconsumed_bytes_ = 0; ///< Received while paused.
};

} // namespace

auto start_peer_exchange(peer_connections& connections, const peer_address& address,
                         const exchange_request& request, exchange_hooks hooks) -> exchange_controls
{
    const auto exchange =
        std::make_shared<peer_exchange>(request, std::move(hooks), connections.guard());
    connections.with_connection(
        address, [exchange](h2_connection* connection) { exchange->start(connection); });
    return {
        [exchange](std::string_view bytes) { exchange->write(bytes, false); },
        [exchange] { exchange->write({}, true); },
        [exchange] { exchange->cancel(); },
        [exchange] { return exchange->withdraw(); },
        [exchange](bool paused) { exchange->pause(paused); },
        [exchange] { return exchange->queued_bytes(); },
    };
}

} // namespace sycamorewinch
