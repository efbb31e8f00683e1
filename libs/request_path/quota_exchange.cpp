#include "request_path/quota_exchange.h"

#include <utility>

#include "event_loop/deadline_timer.h"

namespace sycamorewinch {

namespace {

/** In place of the usual authority, which a caller cannot choose, it marks a quota_ask. */
constexpr std::string_view quota_authority = "quota.sycamorewinch";

/** One quota_ask to another node. The hooks of its stream, or before that the wait for a
 * connection, own it. */
class quota_exchange : public std::enable_shared_from_this<quota_exchange> {
  public:
    quota_exchange(const quota_ask& ask, grant_hook answer)
        : request_(encode(ask)), answer_(std::move(answer))
    {
    }

    void start(peer_connections& peers, const peer_address& address,
               std::chrono::milliseconds timeout)
    {
        const auto self = shared_from_this();
        timer_.start(timeout);
        peers.with_connection(address,
                              [self](h2_connection* connection) { self->send(connection); });
    }

  private:
    void send(h2_connection* connection)
    {
        if (!answer_) {
            return;
        }
        const auto stream = connection == nullptr
                                ? failure(error_kind::unavailable, "no connection")
                                : connection->request({{":method", "POST"},
                                                       {":scheme", "http"},
                                                       {":authority", std::string(quota_authority)},
                                                       {":path", "/"}},
                                                      false, make_hooks());
        if (!stream) {
            finish(std::nullopt);
            return;
        }
        connection_ = connection->weak_from_this();
        stream_ = *stream;
        connection->write(stream_, request_, true);
    }

    auto make_hooks() -> stream_hooks
    {
        const auto self = shared_from_this();
        stream_hooks hooks;
        hooks.on_data_ = [self](std::string_view bytes) {
            self->on_data(bytes);
        };
        hooks.on_closed_ = [self](bool is_complete) {
            const auto grant = decode_quota_grant(self->response_);
            self->finish(is_complete && grant ? std::optional(*grant) : std::nullopt);
        };
        return hooks;
    }

    void on_data(std::string_view bytes)
    {
        const auto connection = connection_.lock();
        if (connection) {
            connection->consume(stream_, bytes.size());
        }
        response_ += bytes;
        if (response_.size() > max_quota_message_bytes && connection) {
            connection->reset(stream_);
        }
    }

    void finish(const std::optional<quota_grant>& grant)
    {
        const auto keep = shared_from_this(); // reset() drops the hooks of the stream
        const auto answer = std::exchange(answer_, nullptr);
        if (!answer) {
            return;
        }
        timer_.stop();
        const auto connection = connection_.lock();
        if (connection && !grant) {
            connection->reset(stream_);
        }
        answer(grant, monotonic_now());
    }

    std::string request_;
    std::string response_;
    grant_hook answer_; ///< Empty once called.
    deadline_timer timer_{[this] {
        finish(std::nullopt);
    }};
    std::weak_ptr<h2_connection> connection_;
    stream_id stream_ = 0;
};

/** The quota_ask of another node while it is read and answered. */
struct served_ask {
    std::string request_;
    bool is_closed_ = false;
};

} // namespace

void send_quota_ask(peer_connections& peers, const peer_address& address, const quota_ask& ask,
                    std::chrono::milliseconds timeout, grant_hook answer)
{
    std::make_shared<quota_exchange>(ask, std::move(answer))->start(peers, address, timeout);
}

auto is_quota_ask(const header_list& headers) -> bool
{
    return find_header(headers, ":authority") == quota_authority;
}

auto serve_quota_ask(const std::shared_ptr<h2_connection>& connection, stream_id stream,
                     std::function<void(const quota_ask& ask, quota_answer_hook reply)> handle)
    -> stream_hooks
{
    const auto served = std::make_shared<served_ask>();
    const auto weak = std::weak_ptr(connection);
    stream_hooks hooks;
    hooks.on_data_ = [served, weak, stream](std::string_view bytes) {
        const auto open = weak.lock();
        if (!open) {
            return;
        }
        open->consume(stream, bytes.size());
        served->request_ += bytes;
        if (served->request_.size() > max_quota_message_bytes) {
            open->reset(stream);
        }
    };
    hooks.on_end_ = [served, weak, stream, handle = std::move(handle)] {
        const auto ask = decode_quota_ask(served->request_);
        if (!ask) {
            if (const auto open = weak.lock()) {
                open->respond(stream, {{":status", "400"}}, true);
            }
            return;
        }
        handle(*ask, [served, weak, stream](const std::optional<quota_grant>& grant) {
            const auto open = weak.lock();
            if (!open || served->is_closed_) {
                return;
            }
            open->respond(stream, {{":status", grant ? "200" : "503"}}, !grant);
            if (grant) {
                open->write(stream, encode(*grant), true);
            }
        });
    };
    hooks.on_closed_ = [served](bool) {
        served->is_closed_ = true;
    };
    return hooks;
}

} // namespace sycamorewinch
