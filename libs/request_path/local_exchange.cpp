#include "request_path/local_exchange.h"

#include <algorithm>
#include <optional>

#include <QTimer>

#include "request_path/crash_guard.h"
#include "request_path/granted_share.h"
#include "request_path/unrepeatable_run.h"

namespace sycamorewinch {

namespace {

/** A target may take at least this long after its caller has gone. */
constexpr std::chrono::milliseconds detached_time{10'000};
/** Answers from here on are errors of the target. */
constexpr unsigned first_error_status = 500;

/** One exchange; kept alive by the connection's hooks and the controls. */
class local_exchange : public std::enable_shared_from_this<local_exchange> {
  public:
    local_exchange(node_state& node, target_connections& connections, exchange_request request,
                   exchange_hooks hooks)
        : node_(node), connections_(connections), request_(std::move(request)),
          hooks_(std::move(hooks)), started_(monotonic_now())
    {
    }

    void start()
    {
        const auto targets = node_.targets();
        const auto target = std::ranges::find_if(*targets, [this](const auto& one) {
            return one.service_ == request_.service_ && one.target_ == request_.target_;
        });
        if (target == targets->end()) {
            refuse(make_refusal(refusal_reason::no_target));
            return;
        }
        const auto routes = node_.routes();
        if (!routes->table_in_force()) {
            refuse(make_refusal(refusal_reason::table_not_proved));
            return;
        }
        const auto terms = node_.mapping().read_metadata_(request_.head_);
        const auto* route = routes->match(request_.head_.path_, terms.host_);
        row_ = route != nullptr ? route->row_->service_ : request_.service_;
        aim_ = route != nullptr ? route->row_->target_latency_ : duration(0);
        share_ = granted_share(route, request_);
        admission_ = target->admission_;
        meter_ = target->meter_;
        address_ = target->address_;
        if (const auto refusal = try_to_admit()) {
            wait_or_refuse(*refusal);
            return;
        }
        on_admitted();
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
    /** Takes a slot, or returns why there is none. */
    auto try_to_admit() -> std::optional<refusal_reason>
    {
        auto decision = admission_->admit(request_.caller_, share_, monotonic_now());
        ticket_ = std::move(decision.ticket_);
        return decision.refusal_;
    }

    [[nodiscard]] auto line() -> waiting_line& { return connections_.line_of(address_); }

    [[nodiscard]] auto time_left() const -> duration
    {
        return request_.time_left_ - (monotonic_now() - started_);
    }

    /** Only a slot is worth waiting for, and only as long as the answer may still be in time. */
    void wait_or_refuse(refusal_reason reason)
    {
        const auto wait = expected_wait();
        const auto patience = longest_wait(request_.time_in_aim_, line().service_time(row_),
                                           request_.is_last_choice_);
        if (reason != refusal_reason::target_full || wait >= patience) {
            refuse_not_run(reason, wait);
            return;
        }
        const auto self = shared_from_this();
        place_ = line().join(rank(), [self] { return self->on_turn(); });
        patience_timer_.setSingleShot(true);
        QObject::connect(&patience_timer_, &QTimer::timeout, &patience_timer_, [self] {
            self->leave_line();
            self->refuse_not_run(refusal_reason::target_full, self->expected_wait());
        });
        patience_timer_.start(std::chrono::duration_cast<std::chrono::milliseconds>(patience));
    }

    [[nodiscard]] auto rank() -> line_rank
    {
        return {request_.priority_, request_.time_in_aim_ <= line().service_time(row_)};
    }

    [[nodiscard]] auto expected_wait() -> duration
    {
        return line().expected_wait(rank(), admission_->slots());
    }

    /** Called by the line when a slot may be free. */
    auto on_turn() -> bool
    {
        const auto refusal = try_to_admit();
        if (refusal == refusal_reason::target_full) {
            return false;
        }
        const auto self = shared_from_this(); // the line lets go of this
        leave_line();
        if (refusal) {
            refuse_not_run(*refusal, {});
        }
        else {
            on_admitted();
        }
        return true;
    }

    void leave_line()
    {
        patience_timer_.stop();
        patience_timer_.disconnect();
        if (const auto place = std::exchange(place_, std::nullopt)) {
            line().leave(*place);
        }
    }

    void release_slot()
    {
        if (admission_) {
            ticket_ = admission_ticket();
            line().on_slot_free();
        }
    }

    void on_admitted()
    {
        if (time_left() <= duration(0)) {
            release_slot();
            refuse_not_run(refusal_reason::deadline_passed, {});
            return;
        }
        guard_.emplace(node_.crashes(), node_.crash_news(), request_);
        guard_->on_body(early_body_);
        if (guard_->needs_body() && !body_ended_ && !guard_->is_decided()) {
            is_held_ = true;
            return;
        }
        proceed();
    }

    void proceed()
    {
        if (guard_->is_refused()) {
            release_slot();
            refuse(make_refusal(refusal_reason::request_crashes_targets));
            return;
        }
        const auto key = find_header(request_.head_.headers_, idempotency_key_header);
        if (request_.repeatable_ || key.empty()) {
            send();
        }
        else {
            reserve();
        }
    }

    /** Lets a held request go on once its body tells which one it is. */
    void let_go()
    {
        if (std::exchange(is_held_, false)) {
            proceed();
        }
    }

    void reserve()
    {
        run_ = std::make_unique<unrepeatable_run>(node_.runs(), connections_.runs(), request_);
        const auto self = shared_from_this();
        run_->reserve([self](const run_result& result) { self->on_reserved(result); });
    }

    void on_reserved(const run_result& result)
    {
        if (result.verdict_ == run_verdict::granted) {
            send();
            return;
        }
        release_slot();
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
        sent_at_ = monotonic_now();
        connection_ = connections_.take(address_, !request_.repeatable_);
        const auto connection = connection_; // a failure at once resets the member
        request_.time_left_ =
            std::chrono::milliseconds(std::max<std::int64_t>(to_milliseconds(time_left()), 1));
        started_ = sent_at_;
        auto head = request_.head_;
        node_.mapping().write_target_headers_(head.headers_, request_);
        connection->start(std::move(head), make_hooks());
        if (connection_ && !early_body_.empty()) {
            connection_->write(std::exchange(early_body_, {}));
        }
        if (connection_ && body_ended_ && request_.head_.has_body_) {
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
        else if (!ended_) {
            early_body_ += bytes; // until a slot is free, the request known, the run granted
        }
        if (is_held_ && guard_->is_decided()) {
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
            self->on_response(std::move(head));
        };
        hooks.on_body_ = [self](std::string_view bytes) {
            if (self->is_rejected_) {
                return;
            }
            if (self->run_) {
                self->run_->on_body(bytes);
            }
            self->hooks_.on_body_(bytes);
        };
        hooks.on_end_ = [self] {
            self->on_end();
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

    void on_response(message_head head)
    {
        const auto verdict = node_.mapping().classify_response_(request_, head);
        if (verdict == response_kind::mismatched) {
            connection_->cancel();
            on_failed(exchange_failure::malformed);
            return;
        }
        is_rejected_ = verdict == response_kind::not_run;
        if (is_rejected_) {
            return; // the rest of it is of no interest
        }
        responded_ = true;
        has_error_ = head.status_ >= first_error_status;
        guard_->on_answered();
        if (run_) {
            run_->on_response(head);
        }
        tell_status();
        hooks_.on_response_(std::move(head));
    }

    void on_end()
    {
        connections_.give_back(address_, std::move(connection_));
        if (is_rejected_) {
            on_rejected();
            return;
        }
        const auto taken = monotonic_now() - sent_at_;
        if (has_error_) {
            meter_->on_error();
        }
        else {
            meter_->on_answer(taken, aim_);
            line().note_service_time(row_, taken);
        }
        release_slot();
        if (run_) {
            run_->finish();
        }
        ended_ = true;
        hooks_.on_end_();
    }

    /** The target says that it has not run the request. */
    void on_rejected()
    {
        meter_->on_error();
        release_slot();
        if (run_) {
            run_->release();
        }
        refuse({refusal_reason::target_full, request_outcome::not_run, true, {}});
    }

    void on_failed(exchange_failure failure)
    {
        connection_.reset();
        if (is_rejected_) {
            on_rejected();
            return;
        }
        meter_->on_error();
        release_slot();
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
            ended_ = true;
            hooks_.on_broken_();
        }
        else {
            refuse(make_refusal(was_sent ? refusal_reason::target_failed
                                         : refusal_reason::target_unreachable));
        }
    }

    /** Tells the caller's node how the target is doing. */
    void tell_status()
    {
        if (meter_ && hooks_.on_status_) {
            const auto waiting = static_cast<std::uint32_t>(line().size());
            hooks_.on_status_({meter_->relative_latency(), admission_->in_flight() + waiting,
                               admission_->slots(), meter_->error_rate()});
        }
    }

    void refuse(const refusal& refusal)
    {
        ended_ = true;
        tell_status();
        hooks_.on_refused_(refusal);
    }

    void refuse_not_run(refusal_reason reason, duration retry_after)
    {
        refuse({reason, request_outcome::not_run, false,
                std::chrono::duration_cast<std::chrono::milliseconds>(retry_after)});
    }

    void cancel()
    {
        if (run_ && connection_ && (body_ended_ || !request_.head_.has_body_)) {
            detach();
            return;
        }
        ended_ = true;
        leave_line();
        run_.reset();
        is_held_ = false;
        if (connection_) {
            connection_->cancel();
            connection_.reset();
        }
        release_slot();
    }

    // The caller has gone, but the target has the whole request: its outcome is kept for the
    // caller's next try.
    void detach()
    {
        hooks_ = hooks_for_nobody();
        connection_->pause_reading(false);
        const auto self = shared_from_this();
        QTimer::singleShot(std::max(request_.time_left_, detached_time),
                           [self] { self->abandon(); });
    }

    void abandon()
    {
        run_.reset();
        if (const auto connection = std::exchange(connection_, nullptr)) {
            connection->cancel();
        }
        release_slot();
    }

    node_state& node_;
    target_connections& connections_;
    exchange_request request_;
    std::string row_; ///< Names the row that the request belongs to here.
    duration aim_{0}; ///< Of that row; zero: none.
    exchange_hooks hooks_;
    instant started_; ///< Since when time_left_ runs.
    instant sent_at_{};
    limit_share share_;
    std::shared_ptr<admission_controller> admission_; ///< Outlives the ticket.
    std::shared_ptr<target_meter> meter_;
    admission_ticket ticket_;
    peer_address address_;
    std::shared_ptr<http1_client_connection> connection_;
    std::optional<line_place> place_; ///< Set while it waits for a slot.
    QTimer patience_timer_;
    std::optional<crash_guard> guard_;
    std::unique_ptr<unrepeatable_run> run_; ///< Unrepeatable requests with an idempotency key.
    std::string early_body_;                ///< Arrived before the request could be sent.
    bool is_held_ = false;                  ///< Until its body tells which request it is.
    bool is_rejected_ = false;              ///< The target says that it does not run it.
    bool body_ended_ = false;
    bool responded_ = false;
    bool has_error_ = false; ///< The target answered with an error of its own.
    bool ended_ = false;
};

} // namespace

auto start_local_exchange(node_state& node, target_connections& connections,
                          const exchange_request& request, exchange_hooks hooks)
    -> exchange_controls
{
    const auto exchange =
        std::make_shared<local_exchange>(node, connections, request, std::move(hooks));
    exchange->start();
    return exchange->controls();
}

} // namespace sycamorewinch
