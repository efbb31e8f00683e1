#include "request_path/local_exchange.h"

#include <algorithm>
#include <optional>

#include <QTimer>

#include "request_path/crash_guard.h"
#include "request_path/unrepeatable_run.h"

namespace sycamorewinch {

namespace {

/** A target may take at least this long after its caller has gone. */
constexpr std::chrono::milliseconds detached_time{10'000};

/** The part of a caller's limits that falls to one target. A target that is new to this node's
 * routes grants as if it were one more alike. */
auto share_of(const service_route& route, const exchange_request& request) -> limit_share
{
    const auto& limit = route.row_->limit_of(request.caller_);
    if (!is_limited(limit)) {
        return {};
    }
    const auto shares = share_limit(route, request.caller_, limit);
    for (std::size_t index = 0; index < shares.size(); ++index) {
        if (route.targets_[index].record_.target_ == request.target_) {
            return shares[index];
        }
    }
    const auto parts = static_cast<double>(shares.size() + 1);
    return {true, limit.requests_per_second_ / parts, 1, limit.concurrency_ == 0 ? 0U : 1U};
}

/** One exchange; kept alive by the connection's hooks and the controls. */
class local_exchange : public std::enable_shared_from_this<local_exchange> {
  public:
    local_exchange(target_connections& connections, exchange_hooks hooks)
        : connections_(connections), hooks_(std::move(hooks))
    {
    }

    void start(node_state& node, const exchange_request& request)
    {
        const auto targets = node.targets();
        const auto target = std::ranges::find_if(*targets, [&request](const auto& one) {
            return one.service_ == request.service_ && one.target_ == request.target_;
        });
        if (target == targets->end()) {
            refuse(make_refusal(refusal_reason::no_target));
            return;
        }
        const auto routes = node.routes();
        const auto* route = routes->match(request.head_.path_);
        if (route == nullptr || route->row_->service_ != request.service_) {
            refuse(make_refusal(routes->table_in_force() ? refusal_reason::no_route
                                                         : refusal_reason::table_not_proved));
            return;
        }
        auto decision =
            target->admission_->admit(request.caller_, share_of(*route, request), monotonic_now());
        if (decision.refusal_) {
            refuse(make_refusal(*decision.refusal_));
            return;
        }
        admission_ = target->admission_;
        ticket_ = std::move(decision.ticket_);
        address_ = target->address_;
        is_repeatable_ = route->row_->repeatable_;
        head_ = request.head_;
        time_left_ = request.time_left_;
        guard_.emplace(node.crashes(), node.crash_news(), request);
        if (guard_->needs_body()) {
            held_ = [self = shared_from_this(), &node, request] {
                self->proceed(node, request);
            };
            return;
        }
        proceed(node, request);
    }

    auto controls() -> exchange_controls
    {
        const auto self = shared_from_this();
        return {
            [self](std::string_view bytes) { self->write(bytes); },
            [self] { self->finish(); },
            [self] { self->cancel(); },
            [self](bool paused) {
                if (self->connection_) {
                    self->connection_->pause_reading(paused);
                }
            },
            [self] { return self->queued_bytes(); },
        };
    }

  private:
    void proceed(node_state& node, const exchange_request& request)
    {
        if (guard_->is_refused()) {
            ticket_ = admission_ticket();
            refuse(make_refusal(refusal_reason::request_crashes_targets));
            return;
        }
        const auto key = find_header(head_.headers_, idempotency_key_header);
        if (is_repeatable_ || key.empty()) {
            send();
        }
        else {
            reserve(node, request);
        }
    }

    /** Lets a held request go on once its body tells which one it is. */
    void let_go()
    {
        if (const auto go_on = std::exchange(held_, nullptr)) {
            go_on();
        }
    }

    void reserve(node_state& node, const exchange_request& request)
    {
        run_ = std::make_unique<unrepeatable_run>(node.runs(), connections_.runs(), request);
        const auto self = shared_from_this();
        run_->reserve([self](const run_result& result) { self->on_reserved(result); });
    }

    void on_reserved(const run_result& result)
    {
        if (result.verdict_ == run_verdict::granted) {
            send();
            return;
        }
        ticket_ = admission_ticket();
        const auto answer = decode_answer(result.outcome_);
        if (const auto reason = refusal_of(result.verdict_)) {
            refuse(make_refusal(*reason));
        }
        else if (answer) {
            replay(*answer);
        }
        else {
            refuse(make_refusal(refusal_reason::run_outcome_dropped));
        }
    }

    void replay(stored_answer answer)
    {
        answer.head_.headers_.push_back({std::string(replayed_header), "yes"});
        hooks_.on_response_(std::move(answer.head_));
        if (!answer.body_.empty()) {
            hooks_.on_body_(answer.body_);
        }
        hooks_.on_end_();
    }

    void send()
    {
        connection_ = connections_.take(address_, !is_repeatable_);
        const auto connection = connection_; // a failure at once resets the member
        connection->start(head_, make_hooks());
        if (connection_ && !early_body_.empty()) {
            connection_->write(std::exchange(early_body_, {}));
        }
        if (connection_ && body_ended_ && head_.has_body_) {
            connection_->finish();
        }
    }

    void write(std::string_view bytes)
    {
        if (guard_) {
            guard_->on_body(bytes);
        }
        if (connection_) {
            connection_->write(bytes);
        }
        else if (run_ || held_) {
            early_body_ += bytes; // until the request is known, or its reservation granted
        }
        if (held_ && guard_->is_decided()) {
            let_go();
        }
    }

    void finish()
    {
        body_ended_ = true;
        if (connection_) {
            connection_->finish();
        }
        let_go();
    }

    [[nodiscard]] auto queued_bytes() const -> std::size_t
    {
        return connection_ ? connection_->queued_bytes() : early_body_.size();
    }

    auto make_hooks() -> client_exchange_hooks
    {
        const auto self = shared_from_this();
        client_exchange_hooks hooks;
        hooks.on_response_ = [self](message_head head) {
            self->responded_ = true;
            self->guard_->on_answered();
            if (self->run_) {
                self->run_->on_response(head);
            }
            self->hooks_.on_response_(std::move(head));
        };
        hooks.on_body_ = [self](std::string_view bytes) {
            if (self->run_) {
                self->run_->on_body(bytes);
            }
            self->hooks_.on_body_(bytes);
        };
        hooks.on_end_ = [self] {
            auto connection = std::move(self->connection_);
            self->ticket_ = admission_ticket();
            if (self->run_) {
                self->run_->finish();
            }
            self->connections_.give_back(self->address_, std::move(connection));
            self->hooks_.on_end_();
        };
        hooks.on_failed_ = [self](exchange_failure failure) {
            self->on_failed(failure);
        };
        hooks.on_writable_ = [self] {
            if (self->hooks_.on_writable_) {
                self->hooks_.on_writable_();
            }
        };
        return hooks;
    }

    void on_failed(exchange_failure failure)
    {
        connection_.reset();
        ticket_ = admission_ticket();
        const bool was_sent = failure != exchange_failure::not_sent;
        const bool has_broken =
            failure == exchange_failure::broken || failure == exchange_failure::cut_short;
        if (has_broken && !responded_) {
            guard_->on_crashed();
        }
        if (run_ && was_sent) {
            run_->lose();
        }
        else if (run_) {
            run_->release();
        }
        if (responded_) {
            hooks_.on_broken_();
        }
        else {
            refuse(make_refusal(was_sent ? refusal_reason::target_failed
                                         : refusal_reason::target_unreachable));
        }
    }

    void refuse(const refusal& refusal) { hooks_.on_refused_(refusal); }

    void cancel()
    {
        if (run_ && connection_ && (body_ended_ || !head_.has_body_)) {
            detach();
            return;
        }
        run_.reset();
        held_ = nullptr;
        if (connection_) {
            connection_->cancel();
            connection_.reset();
        }
        ticket_ = admission_ticket();
    }

    // The caller has gone, but the target has the whole request: its outcome is kept for the
    // caller's next try.
    void detach()
    {
        hooks_.on_response_ = [](const message_head&) {
        };
        hooks_.on_body_ = [](std::string_view) {
        };
        hooks_.on_end_ = [] {
        };
        hooks_.on_refused_ = [](const refusal&) {
        };
        hooks_.on_broken_ = [] {
        };
        hooks_.on_writable_ = nullptr;
        connection_->pause_reading(false);
        const auto self = shared_from_this();
        QTimer::singleShot(std::max(time_left_, detached_time), [self] { self->abandon(); });
    }

    void abandon()
    {
        run_.reset();
        if (const auto connection = std::exchange(connection_, nullptr)) {
            connection->cancel();
        }
        ticket_ = admission_ticket();
    }

    target_connections& connections_;
    exchange_hooks hooks_;
    std::shared_ptr<admission> admission_; ///< Outlives the ticket.
    admission_ticket ticket_;
    peer_address address_;
    std::shared_ptr<http1_client_connection> connection_;
    message_head head_;
    std::chrono::milliseconds time_left_{0};
    std::optional<crash_guard> guard_;
    std::function<void()> held_;            ///< Goes on once the request is known.
    std::unique_ptr<unrepeatable_run> run_; ///< Unrepeatable requests with an idempotency key.
    std::string early_body_;                ///< Arrived before the reservation was granted.
    bool is_repeatable_ = false;
    bool body_ended_ = false;
    bool responded_ = false;
};

} // namespace

auto start_local_exchange(node_state& node, target_connections& connections,
                          const exchange_request& request, exchange_hooks hooks)
    -> exchange_controls
{
    const auto exchange = std::make_shared<local_exchange>(connections, std::move(hooks));
    exchange->start(node, request);
    return exchange->controls();
}

} // namespace sycamorewinch
