#include "request_path/peer_exchange.h"

#include <utility>

#include "request_path/peer_headers.h"

namespace sycamorewinch {

namespace {

/** Calls that wait for one connection to open; more are refused at once. */
constexpr std::size_t max_waiting = 256;

} // namespace

peer_connections::~peer_connections()
{
    for (const auto& [address, slot] : std::exchange(slots_, {})) {
        if (slot.client_) {
            slot.client_->close();
        }
    }
    for (const auto& client : std::exchange(retiring_, {})) {
        client->close();
    }
}

void peer_connections::with_connection(const peer_address& address,
                                       std::function<void(h2_connection*)> use)
{
    auto& slot = slots_[address];
    if (slot.client_ && slot.client_->is_ready()) {
        use(&slot.client_->connection());
        return;
    }
    if (slot.waiting_.size() >= max_waiting) {
        use(nullptr);
        return;
    }
    slot.waiting_.push_back(std::move(use));
    const bool is_opening =
        slot.client_ && slot.client_->is_open() && !slot.client_->is_established();
    if (!is_opening) {
        dial(address);
    }
}

void peer_connections::dial(const peer_address& address)
{
    auto& slot = slots_[address];
    std::erase_if(retiring_, [](const auto& client) { return !client->is_open(); });
    if (slot.client_ && slot.client_->is_open()) {
        retiring_.push_back(std::move(slot.client_));
    }
    const auto generation = ++slot.generation_;
    peer_client_hooks hooks;
    hooks.on_ready_ = [this, address, generation] {
        answer_waiting(address, generation, true);
    };
    hooks.on_ended_ = [this, address, generation](connection_end) {
        answer_waiting(address, generation, false);
    };
    slot.client_ = peer_client::dial(address, key_, std::move(hooks), limits_);
}

void peer_connections::answer_waiting(const peer_address& address, std::uint64_t generation,
                                      bool ready)
{
    const auto found = slots_.find(address);
    if (found == slots_.end() || found->second.generation_ != generation) {
        return; // an earlier connection, already replaced
    }
    const auto client = found->second.client_;
    const auto waiting = std::exchange(found->second.waiting_, {});
    for (const auto& use : waiting) {
        use(ready && client->is_ready() ? &client->connection() : nullptr);
    }
}

namespace {

/** One exchange; kept alive by the stream's hooks and the controls. */
class peer_exchange : public std::enable_shared_from_this<peer_exchange> {
  public:
    peer_exchange(const exchange_request& request, exchange_hooks hooks)
        : headers_(to_peer_headers(request)), has_body_(request.head_.has_body_),
          hooks_(std::move(hooks))
    {
    }

    void start(h2_connection* connection)
    {
        if (ended_) {
            return;
        }
        if (connection == nullptr) {
            end_with(make_refusal(refusal_reason::target_unreachable));
            return;
        }
        const auto stream = connection->request(headers_, !has_body_, make_hooks());
        if (!stream) {
            end_with(make_refusal(refusal_reason::target_unreachable));
            return;
        }
        connection_ = connection->weak_from_this();
        stream_ = *stream;
        if (has_body_ && (!early_body_.empty() || early_finish_)) {
            connection->write(stream_, early_body_, early_finish_);
            early_body_.clear();
        }
    }

    void write(std::string_view bytes, bool last)
    {
        finished_ = finished_ || last;
        const auto connection = connection_.lock();
        if (connection) {
            connection->write(stream_, bytes, last);
            return;
        }
        early_body_ += bytes;
        early_finish_ = early_finish_ || last;
    }

    void cancel()
    {
        ended_ = true;
        if (const auto connection = connection_.lock()) {
            connection->reset(stream_);
        }
    }

    void pause(bool paused)
    {
        paused_ = paused;
        if (!paused && unconsumed_ > 0) {
            consume(std::exchange(unconsumed_, 0));
        }
    }

    [[nodiscard]] auto queued_bytes() const -> std::size_t
    {
        const auto connection = connection_.lock();
        return connection ? connection->queued_bytes(stream_) : early_body_.size();
    }

  private:
    auto make_hooks() -> stream_hooks
    {
        const auto self = shared_from_this();
        stream_hooks hooks;
        hooks.on_headers_ = [self](const header_list& headers, bool last) {
            self->on_headers(headers, last);
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
            self->on_answer_end();
        };
        hooks.on_refused_ = [self] {
            if (!self->ended_) {
                self->end_with(make_refusal(refusal_reason::target_unreachable));
            }
        };
        hooks.on_closed_ = [self](bool whole) {
            self->on_closed(whole);
        };
        return hooks;
    }

    void on_headers(const header_list& headers, bool last)
    {
        if (ended_) {
            return;
        }
        const auto status = parse_target_load_report(find_header(headers, status_header));
        if (status && hooks_.on_status_) {
            hooks_.on_status_(*status);
        }
        if (const auto refusal = from_peer_refusal(headers)) {
            end_with(*refusal);
            return;
        }
        responded_ = true;
        hooks_.on_response_(from_peer_response(headers, last));
    }

    void on_data(std::string_view bytes)
    {
        if (ended_) {
            consume(bytes.size());
            return;
        }
        if (paused_) {
            unconsumed_ += bytes.size();
        }
        else {
            consume(bytes.size());
        }
        hooks_.on_body_(bytes);
    }

    /** The answer is whole; the target may have given it without the rest of the request. */
    void on_answer_end()
    {
        if (ended_ || !responded_) {
            return;
        }
        ended_ = true;
        const auto connection = connection_.lock();
        if (connection && has_body_ && !finished_) {
            connection->reset(stream_);
        }
        hooks_.on_end_();
    }

    void on_closed(bool whole)
    {
        if (ended_) {
            return;
        }
        if (!responded_) {
            // The other node may have given the request to its target before it was lost.
            end_with(make_refusal(refusal_reason::target_failed));
            return;
        }
        ended_ = true;
        if (whole) {
            hooks_.on_end_();
        }
        else {
            hooks_.on_broken_();
        }
    }

    void end_with(const refusal& refusal)
    {
        ended_ = true;
        hooks_.on_refused_(refusal);
    }

    void consume(std::size_t count)
    {
        if (const auto connection = connection_.lock()) {
            connection->consume(stream_, count);
        }
    }

    header_list headers_;
    bool has_body_;
    exchange_hooks hooks_;
    std::weak_ptr<h2_connection> connection_;
    stream_id stream_ = 0;
    std::string early_body_; ///< Written before the connection was ready.
    bool early_finish_ = false;
    bool finished_ = false; ///< Our side's body is whole.
    bool responded_ = false;
    bool ended_ = false;
    bool paused_ = false;
    std::size_t unconsumed_ = 0;
};

} // namespace

auto start_peer_exchange(peer_connections& connections, const peer_address& address,
                         const exchange_request& request, exchange_hooks hooks) -> exchange_controls
{
    const auto exchange = std::make_shared<peer_exchange>(request, std::move(hooks));
    connections.with_connection(
        address, [exchange](h2_connection* connection) { exchange->start(connection); });
    return {
        [exchange](std::string_view bytes) { exchange->write(bytes, false); },
        [exchange] { exchange->write({}, true); },
        [exchange] { exchange->cancel(); },
        [exchange](bool paused) { exchange->pause(paused); },
        [exchange] { return exchange->queued_bytes(); },
    };
}

} // namespace sycamorewinch
