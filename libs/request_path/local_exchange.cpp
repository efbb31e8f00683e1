#include "request_path/local_exchange.h"

#include <algorithm>
#include <optional>

#include <QTimer>

#include "event_loop/deadline_timer.h"
#include "observability/log.h"
#include "request_path/crash_guard.h"
#include "request_path/slot_request.h"
#include "request_path/target_limit_share.h"
#include "request_path/unrepeatable_run.h"

namespace sycamorewinch {

namespace {

/** A longer response than this is not read to its end after its caller has disconnected. */
constexpr std::size_t max_bytes_after_disconnect = 8U * 1024 * 1024;
/** A target that rejects requests by itself is not expected to accept the next one sooner. */
constexpr std::chrono::milliseconds min_retry_after_rejection{10};
/** The rest of a response by which the target states that it has not run the request is read, so
 * that its connection can be reused, up to this size and for this long. */
constexpr std::size_t max_discarded_bytes = 64U * 1024;
constexpr std::chrono::milliseconds max_discard_time{1'000};
/** Responses with this status or a higher one count as errors of the target. */
constexpr unsigned first_error_status = 500;

constexpr double thousandths = 1'000; ///< Per unit.

auto to_thousandths(double value) -> std::uint32_t
{
    return static_cast<std::uint32_t>(value * thousandths);
}

/** A request to a target beside this node, and its response. Shared by the controls and by the
 * hooks and callbacks that it is notified by. */
class local_exchange : public std::enable_shared_from_this<local_exchange> {
  public:
    local_exchange(node_state& node, target_connections& connections, exchange_request request,
                   exchange_hooks hooks, std::chrono::milliseconds min_detached_time)
        : node_(node), connections_(connections), request_(std::move(request)),
          hooks_(std::move(hooks)), min_detached_time_(min_detached_time),
          time_left_at_(monotonic_now()), pending_charge_(connections.guard())
    {
    }

    void start()
    {
        const auto targets = node_.targets();
        const auto target = std::ranges::find_if(*targets, [this](const auto& candidate) {
            return candidate.service_ == request_.service_ && candidate.target_ == request_.target_;
        });
        if (target == targets->end()) {
            refuse(make_refusal(refusal_reason::no_target));
            return;
        }
        if (request_.time_left_ <= duration(0)) {
            refuse(make_refusal(refusal_reason::not_started_in_time));
            return;
        }
        const auto routes = node_.routes();
        if (!routes->table_in_force()) {
            refuse(make_refusal(refusal_reason::table_not_proved));
            return;
        }
        const auto metadata = node_.mapping().read_metadata_(request_.head_);
        const auto* route = routes->match(request_.head_.path_, metadata.host_);
        row_service_ = route != nullptr ? route->row_->service_ : request_.service_;
        target_latency_ = route != nullptr ? route->row_->target_latency_ : duration(0);
        limit_share_ = target_limit_share(route, request_);
        admission_ = target->admission_;
        meter_ = target->meter_;
        version_meter_ = target->versions_;
        cold_start_end_ = target->cold_start_end_;
        address_ = target->address_;
        if (request_.known_rate_limit_) {
            admission_->stated_limit().adopt(*request_.known_rate_limit_ / thousandths);
        }
        request_slot();
    }

    auto controls() -> exchange_controls
    {
        const auto self = shared_from_this();
        return {
            [self](std::string_view bytes) { self->write(bytes); },
            [self] { self->finish_body(); },
            [self] { self->cancel(); },
            [self] { return self->withdraw() ? withdrawal::withdrawn : withdrawal::may_have_run; },
            [self](bool paused) {
                if (self->connection_) {
                    self->connection_->pause_reading(paused);
                }
            },
            [self] { return self->queued_bytes(); },
        };
    }

  private:
    [[nodiscard]] auto queue() -> wait_queue& { return connections_.queue_of(address_); }

    [[nodiscard]] auto time_left() const -> duration
    {
        return request_.time_left_ - (monotonic_now() - time_left_at_);
    }

    void request_slot()
    {
        const auto self = shared_from_this();
        slot_demand demand{request_.caller_,
                           row_service_,
                           limit_share_,
                           request_.priority_,
                           request_.latency_budget_,
                           time_left(),
                           request_.refusal_delay_,
                           request_.is_last_choice_};
        slot_hooks hooks{
            [self] { self->on_admitted(); },
            [self](refusal_reason reason, duration retry_after) {
                self->refuse_not_run(reason, retry_after);
            },
        };
        slot_source source{admission_, meter_, connections_.reservation_of(address_), queue()};
        slot_ =
            std::make_shared<slot_request>(std::move(source), std::move(demand), std::move(hooks));
        const auto slot = slot_; // the hooks may drop the last reference to this exchange
        slot->start();
    }

    /** Gives up the slot or the wait for it, and lets the queue start waiting requests. */
    void release_slot()
    {
        if (slot_) {
            slot_->release();
        }
    }

    void on_admitted()
    {
        if (time_left() <= duration(0)) {
            release_slot();
            refuse_not_run(refusal_reason::not_started_in_time, {});
            return;
        }
        crash_guard_.emplace(node_.crashes(), node_.crash_hook(), request_);
        crash_guard_->on_body(pending_body_);
        if (crash_guard_->needs_body() && !body_ended_ && !crash_guard_->has_whole_fingerprint()) {
            is_held_ = true;
            limit_time_to_send();
            return;
        }
        check_crashes_and_send();
    }

    /** Arranges that the request is refused in time for the refusal to reach the caller's node
     * before the deadline, if nothing was sent to the target by then. Not needed for a caller of
     * this node, which withdraws the request at its deadline. */
    void limit_time_to_send()
    {
        if (request_.refusal_delay_ <= duration(0) || send_timer_) {
            return;
        }
        send_timer_.emplace([this] {
            const auto self = shared_from_this(); // withdraw() may drop the last other reference
            if (withdraw()) {
                refuse_not_run(refusal_reason::not_started_in_time, {});
            }
        });
        send_timer_->start(time_left() - request_.refusal_delay_);
    }

    /** Refuses a request that has crashed too many targets, and sends any other. An unrepeatable
     * request with an idempotency key is sent once its run is reserved. */
    void check_crashes_and_send()
    {
        if (crash_guard_->must_refuse()) {
            release_slot();
            refuse(make_refusal(refusal_reason::request_crashes_targets));
            return;
        }
        const auto key = find_header(request_.head_.headers_, idempotency_key_header);
        if (request_.repeatable_ || key.empty()) {
            send();
        }
        else {
            reserve_run();
        }
    }

    /** Continues with the request if it is held. To be called when the part of its body that
     * identifies it has arrived, or its body has ended. */
    void resume_if_held()
    {
        if (std::exchange(is_held_, false)) {
            check_crashes_and_send();
        }
    }

    void reserve_run()
    {
        run_ = std::make_unique<unrepeatable_run>(node_.run_hooks(), connections_.run_client(),
                                                  request_);
        limit_time_to_send();
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
        const auto response = decode_response(result.outcome_);
        if (const auto reason = refusal_reason_for(result.verdict_)) {
            refuse(make_refusal(*reason));
        }
        else if (response) {
            send_stored_response(*response);
        }
        else {
            refuse(make_refusal(refusal_reason::run_outcome_dropped));
        }
    }

    void send_stored_response(stored_response response)
    {
        response.head_.headers_.push_back({std::string(replayed_header), "yes"});
        hooks_.on_response_(std::move(response.head_));
        if (!response.body_.empty()) {
            hooks_.on_body_(response.body_);
        }
        hooks_.on_end_();
    }

    void send()
    {
        sent_at_ = monotonic_now();
        target_start_ = admission_->start_number();
        connection_ = request_.repeats_at_target_
                          ? connections_.dial(address_)
                          : connections_.acquire(address_, !request_.repeatable_);
        const auto connection = connection_; // if start() fails at once, connection_ is reset
        request_.time_left_ =
            std::chrono::milliseconds(std::max<std::int64_t>(to_milliseconds(time_left()), 1));
        time_left_at_ = sent_at_;
        auto head = request_.head_;
        node_.mapping().write_target_headers_(head.headers_, request_);
        connection->start(std::move(head), make_hooks());
        if (connection_ && !connection_->has_sent_bytes()) {
            limit_time_to_send(); // the connection is being established
        }
        if (connection_ && !pending_body_.empty()) {
            connection_->write(std::exchange(pending_body_, {}));
            pending_charge_.set(0);
        }
        if (connection_ && body_ended_ && request_.head_.has_body_) {
            connection_->finish();
        }
    }

    void write(std::string_view bytes)
    {
        if (crash_guard_) {
            crash_guard_->on_body(bytes);
        }
        if (connection_) {
            connection_->write(bytes);
        }
        else if (!ended_) {
            pending_body_ += bytes; // until the request has a slot, is identified and may run
            pending_charge_.set(pending_body_.size());
        }
        if (is_held_ && crash_guard_->has_whole_fingerprint()) {
            resume_if_held();
        }
    }

    void finish_body()
    {
        body_ended_ = true;
        if (connection_) {
            connection_->finish();
        }
        resume_if_held();
    }

    [[nodiscard]] auto queued_bytes() const -> std::size_t
    {
        return connection_ ? connection_->queued_bytes() : pending_body_.size();
    }

    auto make_hooks() -> client_exchange_hooks
    {
        const auto self = shared_from_this();
        client_exchange_hooks hooks;
        hooks.on_response_ = [self](message_head head) {
            self->on_response(std::move(head));
        };
        hooks.on_body_ = [self](std::string_view bytes) {
            if (self->target_stated_not_run_) {
                self->discard(bytes.size());
                return;
            }
            if (self->run_) {
                self->run_->on_body(bytes);
            }
            self->hooks_.on_body_(bytes);
            if (self->is_without_caller_) {
                self->count_without_caller(bytes.size());
            }
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
        const auto kind = classify(head);
        if (kind == response_kind::mismatched) {
            connection_->cancel();
            on_failed(exchange_failure::malformed);
            return;
        }
        if (const auto notice = node_.mapping().read_target_notice_(head)) {
            on_notice(*notice);
        }
        target_stated_not_run_ = kind == response_kind::not_run;
        if (target_stated_not_run_) {
            // Posted: a short response mostly ends in the same read, and its connection can then
            // serve a request that waits for the slot.
            const auto self = shared_from_this();
            QTimer::singleShot(0, [self] { self->on_not_run_head(); });
            return;
        }
        responded_ = true;
        is_error_response_ = head.status_ >= first_error_status;
        crash_guard_->on_target_responded();
        if (run_) {
            run_->on_response(head);
        }
        report_load();
        hooks_.on_response_(std::move(head));
    }

    /** Returns how \p head relates to the request. A statement that does not name its request may
     * be a copy of an earlier one, unless this is the connection's first request. */
    [[nodiscard]] auto classify(const message_head& head) const -> response_kind
    {
        const auto kind = node_.mapping().classify_response_(request_, head);
        if (kind != response_kind::unattributed_not_run) {
            return kind;
        }
        return connection_->is_reused() ? response_kind::mismatched : response_kind::not_run;
    }

    /** Applies what the target says about itself in a response that has arrived. */
    void on_notice(const target_notice& notice)
    {
        if (admission_->start_number() != target_start_) {
            return; // from an earlier start of the target
        }
        if (notice.is_leaving_ && admission_->set_leaving()) {
            log_event(log_level::info, "target_leaving",
                      {{"service", request_.service_}, {"target", request_.target_}});
            if (node_.on_leave()) {
                node_.on_leave()(request_.service_, request_.target_, target_start_);
            }
            queue().start_waiting(); // the requests that wait are tried at other targets
        }
        if (notice.has_malformed_rate_) {
            log_event(log_level::warning, "target_limit_malformed",
                      {{"service", request_.service_}, {"target", request_.target_}});
        }
        const bool is_rate_known = notice.max_rate_ || !notice.has_malformed_rate_;
        if (is_rate_known &&
            admission_->stated_limit().state(notice.max_rate_, sent_at_, monotonic_now())) {
            log_event(log_level::info, "target_limit_changed",
                      {{"service", request_.service_},
                       {"target", request_.target_},
                       {"is_limited", notice.max_rate_.has_value()},
                       {"per_second", notice.max_rate_.value_or(0)}});
        }
    }

    void on_end()
    {
        connections_.release(address_, std::move(connection_));
        if (target_stated_not_run_) {
            on_target_stated_not_run();
            return;
        }
        const auto elapsed = monotonic_now() - sent_at_;
        measure_version(is_error_response_);
        if (is_error_response_) {
            meter_->on_error();
        }
        else {
            meter_->on_answer(elapsed, target_latency_);
            queue().record_service_time(row_service_, elapsed);
        }
        release_slot();
        if (run_) {
            run_->finish();
        }
        ended_ = true;
        hooks_.on_end_();
    }

    /** The head of a response has arrived by which the target states that it has not run the
     * request. The refusal does not wait for the body. */
    void on_not_run_head()
    {
        if (connection_ && is_request_complete()) {
            discard_timer_.emplace([this] {
                const auto self =
                    shared_from_this(); // the connection's hooks hold the last reference
                close_connection();
            });
            discard_timer_->start(max_discard_time);
        }
        else {
            close_connection();
        }
        on_target_stated_not_run();
    }

    /** Counts bytes of a body that is not needed. */
    void discard(std::size_t count)
    {
        discarded_bytes_ += count;
        if (discarded_bytes_ > max_discarded_bytes) {
            close_connection();
        }
    }

    void close_connection()
    {
        if (const auto connection = std::exchange(connection_, nullptr)) {
            connection->cancel();
        }
    }

    [[nodiscard]] auto is_request_complete() const -> bool
    {
        return body_ended_ || !request_.head_.has_body_;
    }

    /** Refuses the request after a response by which the target states that it has not run it. The
     * caller is asked to return after the time in which the target ends one of its requests: a
     * target may reject a part of its requests while others are served at once. */
    void on_target_stated_not_run()
    {
        if (ended_) {
            return;
        }
        meter_->on_error();
        release_slot();
        if (run_) {
            run_->release();
        }
        const auto retry_after =
            std::max<duration>(slot_->expected_wait(), min_retry_after_rejection);
        refuse({refusal_reason::target_full, request_outcome::not_run, true,
                std::chrono::duration_cast<std::chrono::milliseconds>(retry_after)});
    }

    void on_failed(exchange_failure failure)
    {
        connection_.reset();
        if (target_stated_not_run_) {
            on_target_stated_not_run();
            return;
        }
        meter_->on_error();
        const bool was_sent = failure != exchange_failure::not_sent;
        if (was_sent) {
            measure_version(true);
        }
        release_slot();
        const bool connection_broke =
            failure == exchange_failure::connection_lost || failure == exchange_failure::truncated;
        if (connection_broke && !responded_) {
            crash_guard_->on_suspected_crash();
        }
        if (run_ && was_sent) {
            run_->lose();
        }
        else if (run_) {
            run_->release();
        }
        if (responded_) {
            ended_ = true;
            hooks_.on_truncated_();
        }
        else {
            refuse(make_refusal(was_sent ? refusal_reason::target_failed
                                         : refusal_reason::target_unreachable));
        }
    }

    /** Counts the request, which the target has received, while a roll-out of its service is
     * running. Must be called before the slot is released, after which the request is no longer
     * reported as in flight. */
    void measure_version(bool is_failure)
    {
        if (version_meter_) {
            version_meter_->record(row_service_, {is_failure, is_slow()});
        }
    }

    /** Returns whether the request has run for longer than the row's target latency, and this is
     * not explained by the cold start of the target. */
    [[nodiscard]] auto is_slow() const -> bool
    {
        const bool is_cold = cold_start_end_ && sent_at_ < *cold_start_end_;
        return target_latency_ > duration(0) && !is_cold &&
               monotonic_now() - sent_at_ > target_latency_;
    }

    /** Reports the target's latency, requests (running and waiting), slots and error rate to the
     * initiator of the exchange. */
    void report_load()
    {
        if (meter_ && hooks_.on_load_report_) {
            const auto waiting = static_cast<std::uint32_t>(queue().size());
            target_load_report report{meter_->relative_latency(), admission_->in_flight() + waiting,
                                      admission_->slots(), meter_->error_rate()};
            if (const auto limit = admission_->stated_limit().per_second()) {
                report.rate_limit_ = to_thousandths(*limit);
                report.rate_delay_ms_ = static_cast<std::uint32_t>(
                    to_milliseconds(admission_->stated_limit().delay(waiting, monotonic_now())));
            }
            hooks_.on_load_report_(report);
        }
    }

    void drop_pending_body()
    {
        pending_body_ = {};
        pending_charge_.set(0);
    }

    void refuse(const refusal& refusal)
    {
        ended_ = true;
        drop_pending_body();
        report_load();
        hooks_.on_refused_(refusal);
    }

    void refuse_not_run(refusal_reason reason, duration retry_after)
    {
        refuse({reason, request_outcome::not_run, false,
                std::chrono::duration_cast<std::chrono::milliseconds>(retry_after)});
    }

    void cancel()
    {
        if (run_ && connection_ && is_request_complete()) {
            continue_without_caller();
            return;
        }
        if (withdraw()) {
            return;
        }
        ended_ = true;
        drop_pending_body();
        // A call that ended at its deadline shows that the target is slow; one whose caller left
        // earlier shows nothing.
        if (connection_ && !target_stated_not_run_ && is_slow()) {
            measure_version(false);
        }
        run_.reset();
        is_held_ = false;
        close_connection();
        release_slot();
    }

    /** Returns whether the target may have received a byte of the request and has not stated that
     * it did not run it. */
    [[nodiscard]] auto may_have_run() const -> bool
    {
        const bool is_sent =
            sent_at_ != instant{} && (!connection_ || connection_->has_sent_bytes());
        return is_sent && !target_stated_not_run_;
    }

    /** Cancels the request if it certainly has not run: no byte of it is sent afterwards, and no
     * hook is called. Returns false, without effect, if it may have run or the last hook was
     * called. */
    auto withdraw() -> bool
    {
        if (ended_ || may_have_run()) {
            return false;
        }
        ended_ = true;
        drop_pending_body();
        if (send_timer_) {
            send_timer_->stop();
        }
        is_held_ = false;
        if (run_) {
            run_->release();
        }
        run_.reset();
        close_connection();
        release_slot();
        return true;
    }

    /** Continues the exchange after the caller has disconnected, since the target has the complete
     * request: the response is stored for a retry with the same idempotency key. */
    void continue_without_caller()
    {
        hooks_ = make_no_op_hooks();
        is_without_caller_ = true;
        connection_->pause_reading(false);
        detached_timer_.emplace([this] { cancel_detached(); });
        detached_timer_->start(std::max(request_.time_left_, min_detached_time_));
    }

    void count_without_caller(std::size_t count)
    {
        bytes_after_disconnect_ += count;
        if (bytes_after_disconnect_ > max_bytes_after_disconnect) {
            cancel_detached();
        }
    }

    /** Ends an exchange without a caller whose target did not respond in time or whose response is
     * too long. Its run is lost. */
    void cancel_detached()
    {
        const auto self = shared_from_this(); // the connection's hooks hold the last reference
        if (is_slow()) {
            measure_version(false);
        }
        run_.reset();
        close_connection();
        release_slot();
    }

    node_state& node_;
    target_connections& connections_;
    exchange_request request_;
    std::string row_service_;    ///< Service of the row that matches, else of the request.
    duration target_latency_{0}; ///< Of the row that matches; zero: none.
    exchange_hooks hooks_;
    std::chrono::milliseconds min_detached_time_;
    instant time_left_at_; ///< When request_.time_left_ was set.
    instant sent_at_{};
    std::uint32_t target_start_ = 0; ///< Start of the target that the request was sent in.
    limit_share limit_share_;
    std::shared_ptr<admission_controller> admission_;
    std::shared_ptr<target_meter> meter_;
    std::shared_ptr<version_meter> version_meter_; ///< As in local_target.
    std::optional<instant> cold_start_end_;        ///< As in local_target.
    std::shared_ptr<slot_request> slot_;           ///< Null before the target was found.
    peer_address address_;
    std::shared_ptr<http1_client_connection> connection_;
    std::optional<deadline_timer> send_timer_;     ///< See limit_time_to_send().
    std::optional<deadline_timer> detached_timer_; ///< Set once the caller has disconnected.
    std::optional<deadline_timer>
        discard_timer_; ///< Set while the rest of a response is discarded.
    std::optional<crash_guard> crash_guard_;
    std::unique_ptr<unrepeatable_run> run_; ///< For unrepeatable requests with an idempotency key.
    std::string pending_body_;              ///< Body that arrived before the request could be sent.
    memory_charge pending_charge_;          ///< For pending_body_.
    bool is_held_ = false;                  ///< The request waits for body bytes that identify it.
    bool target_stated_not_run_ = false;    ///< Its response says that it did not run the request.
    std::size_t discarded_bytes_ = 0;       ///< Of that response's body.
    bool is_without_caller_ = false;        ///< The caller has disconnected.
    std::size_t bytes_after_disconnect_ = 0; ///< Of the response's body.
    bool body_ended_ = false;
    bool responded_ = false;
    bool is_error_response_ = false; ///< The response counts as an error of the target.
    bool ended_ = false;             ///< The last hook was called, or the initiator cancelled.
};

} // namespace

auto start_local_exchange(node_state& node, target_connections& connections,
                          const exchange_request& request, exchange_hooks hooks,
                          std::chrono::milliseconds min_detached_time) -> exchange_controls
{
    const auto exchange = std::make_shared<local_exchange>(node, connections, request,
                                                           std::move(hooks), min_detached_time);
    exchange->start();
    return exchange->controls();
}

} // namespace sycamorewinch
