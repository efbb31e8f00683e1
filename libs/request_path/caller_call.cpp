#include "request_path/caller_call.h"

#include <algorithm>
#include <cstdint>
#include <optional>

#include "event_loop/deadline_timer.h"
#include "policy/limit_share.h"
#include "policy/target_choice.h"
#include "policy/version_choice.h"
#include "request_path/call_log.h"
#include "request_path/peer_headers.h"
#include "request_path/response_buffer.h"

namespace sycamorewinch {

namespace {

/** Largest part of a request's body that is kept for further attempts. */
constexpr std::size_t max_replay_bytes = 64U * 1024;
/** Above this number of unsent bytes, reading from the other side is paused. */
constexpr std::size_t high_water_bytes = 256U * 1024;
/** After this many targets without room for a request, the next target is the last one tried.
 * Trying all targets of a large service would take longer than the caller waits, and under overload
 * would use most of the nodes' processing time. */
constexpr unsigned full_targets_before_last_choice = 2;
/** How long after its deadline a call waits for the other node to confirm that it has withdrawn the
 * request. */
constexpr std::chrono::milliseconds max_withdrawal_time{50};

/** A node whose proof is late mostly has the next one, or another upstream, after this time. */
constexpr auto retry_after_stale_table = std::chrono::milliseconds(200);

/** One call from a caller, with its attempts. The hooks of the connection and of the current
 * exchange share ownership of it until it ends. */
class caller_call : public std::enable_shared_from_this<caller_call> {
  public:
    caller_call(const call_environment& environment,
                const std::shared_ptr<http1_server_connection>& connection, message_head head)
        : environment_(environment), connection_(connection), arrived_(monotonic_now())
    {
        request_.head_ = std::move(head);
    }

    void start()
    {
        ++environment_.node_.calls_in_flight();
        if (environment_.node_.is_shutting_down()) {
            refuse(make_refusal(refusal_reason::shutting_down));
            return;
        }
        routes_ = environment_.node_.routes();
        const auto metadata = environment_.node_.mapping().read_metadata_(request_.head_);
        request_id_ = metadata.request_id_;
        const auto* matched = routes_->match(request_.head_.path_, metadata.host_);
        if (matched == nullptr) {
            refuse(refusal_by_table(refusal_reason::no_route));
            return;
        }
        row_ = matched->row_;
        identify_caller(metadata.api_key_);
        if (is_api_key_missing()) {
            refuse(refusal_by_table(refusal_reason::unknown_api_key));
            return;
        }
        if (metadata.time_allowed_ && matched->state_) {
            time_used_before_ =
                matched->state_->caller_timeouts().time_used(*metadata.time_allowed_, arrived_);
        }
        route_ = &choose_version(choose_destination(*matched, environment_.random_), arrived_,
                                 environment_.random_);
        prepare_request(metadata);
        deadline_timer_.start_at(arrived_ + time_allowed_);
        request_quota();
    }

    auto make_request_hooks() -> request_hooks
    {
        const auto self = shared_from_this();
        return {
            [self](std::string_view bytes) { self->on_request_body(bytes); },
            [self] { self->on_request_end(); },
            [self] { self->on_caller_writable(); },
            [self] { self->on_cancelled(); },
            [self] { self->on_time_up(); },
            [self] { self->on_reclaim(); },
        };
    }

  private:
    void identify_caller(std::string_view api_key)
    {
        if (const auto* found = routes_->organisations().find(api_key)) {
            organisation_ = found->organisation_;
            organisation_state_ = found->state_;
            request_.organisation_ = organisation_->name_;
            if (organisation_state_) {
                organisation_state_->count_call();
            }
        }
    }

    [[nodiscard]] auto is_api_key_missing() const -> bool
    {
        return organisation_ == nullptr && !row_->allow_anonymous_ &&
               !routes_->organisations().empty();
    }

    void prepare_request(const call_metadata& metadata)
    {
        request_.caller_ = metadata.caller_;
        request_.origin_ = metadata.origin_;
        request_.service_ = route_->service_;
        request_.priority_ = organisation_ != nullptr
                                 ? organisation_->priority_.value_or(row_->priority_)
                                 : row_->priority_;
        request_.repeatable_ = row_->repeatable_;
        time_allowed_ = std::min(row_->timeout_, metadata.time_allowed_.value_or(row_->timeout_));
        is_retry_ = metadata.is_retry_;
        state().budget().earn();
        // If a caller's limits are too small for all targets, only some of them have a share.
        tried_or_without_share_ =
            targets_without_share(*route_, request_.caller_, row_->limit_of(request_.caller_));
        remove_system_headers(request_.head_.headers_);
        if (!routes_->organisations().empty()) {
            environment_.node_.mapping().remove_identity_headers_(request_.head_.headers_);
        }
    }

    /** Starts the first attempt once the organisation's quota has a token for the call. */
    void request_quota()
    {
        if (organisation_ == nullptr) {
            start_attempt();
            return;
        }
        waits_for_quota_ = true;
        quota_wait_ = environment_.quotas_.admit(
            *organisation_, [weak = weak_from_this()](const quota_reply& reply) {
                if (const auto self = weak.lock()) {
                    self->on_quota(reply);
                }
            });
        const auto connection = connection_.lock();
        if (waits_for_quota_ && request_.head_.has_body_ && connection) {
            is_body_held_ = true;
            connection->pause_reading(true);
        }
    }

    void on_quota(const quota_reply& reply)
    {
        if (ended_) {
            return;
        }
        waits_for_quota_ = false;
        if (reply.verdict_ == quota_verdict::granted) {
            const auto connection = connection_.lock();
            if (std::exchange(is_body_held_, false) && connection) {
                connection->pause_reading(false);
            }
            start_attempt();
            return;
        }
        auto refusal = make_refusal(reply.verdict_ == quota_verdict::exceeded
                                        ? refusal_reason::quota_exceeded
                                        : refusal_reason::quota_unavailable);
        refusal.retry_after_ = reply.retry_after_;
        refuse(refusal);
    }

    /** Returns whether a table has been accepted. Until then, a path without a route is not known
     * to be wrong. */
    [[nodiscard]] auto has_table() const -> bool
    {
        const auto& table = routes_->table_in_force();
        return table && table->version_.number_ > 0;
    }

    /** Returns a refusal with \p reason, which follows from the table alone; without a recent proof
     * that the table is current, the reason is that it is not proved. */
    [[nodiscard]] auto refusal_by_table(refusal_reason reason) const -> refusal
    {
        if (has_table() && environment_.node_.is_table_recent(arrived_)) {
            return make_refusal(reason);
        }
        auto refusal = make_refusal(refusal_reason::table_not_proved);
        refusal.retry_after_ = has_table() ? retry_after_stale_table : refusal.retry_after_;
        return refusal;
    }

    [[nodiscard]] auto time_left() const -> duration
    {
        return time_allowed_ - (monotonic_now() - arrived_);
    }

    [[nodiscard]] auto state() -> service_state&
    {
        return route_ != nullptr && route_->state_ ? *route_->state_
                                                   : environment_.node_.unrouted();
    }

    void start_attempt()
    {
        const auto* target = choose_next_target();
        if (target == nullptr) {
            refuse(make_refusal(refusal_reason::no_target));
            return;
        }
        const auto attempt_number = ++attempts_;
        request_.target_ = target->record_.target_;
        health_ = target->health_;
        target_start_ = target->record_.started_;
        request_.repeats_at_target_ =
            std::ranges::find(tried_or_without_share_, request_.target_) !=
            tried_or_without_share_.end();
        tried_or_without_share_.push_back(request_.target_);
        if (health_ && health_->is_leaving(target_start_)) {
            on_refused(attempt_number, make_refusal(refusal_reason::target_draining));
            return;
        }
        request_.known_rate_limit_ = health_ ? health_->rate_limit(monotonic_now()) : std::nullopt;
        set_request_budgets();
        const auto address = parse_peer_address(target->record_.node_address_);
        auto hooks = make_exchange_hooks(attempt_number);
        controls_ = {};
        exchange_controls controls;
        if (target->record_.node_address_ == environment_.node_.own_address()) {
            controls = start_local_exchange(environment_.node_, environment_.targets_, request_,
                                            std::move(hooks));
        }
        else if (address) {
            controls =
                start_peer_exchange(environment_.peers_, *address, request_, std::move(hooks));
        }
        else {
            on_refused(attempt_number, make_refusal(refusal_reason::target_unreachable));
            return;
        }
        if (attempt_number != attempts_ || ended_) {
            return; // refused synchronously; another attempt has started or the call has ended
        }
        controls_ = std::move(controls);
        if (!replay_buffer_.empty()) {
            controls_.write_(replay_buffer_);
        }
        if (body_ended_ && request_.head_.has_body_) {
            controls_.finish_();
        }
    }

    /** Chooses the next target. A caller's limit is split over the targets by weight, so the calls
     * of a limited caller are spread by weight as well, regardless of zone and load. */
    [[nodiscard]] auto choose_next_target() const -> const weighted_target*
    {
        if (is_limited(row_->limit_of(request_.caller_))) {
            return choose_target(*route_, excluded_targets(), environment_.random_);
        }
        const auto zone = is_last_choice() ? std::string() : environment_.node_.preferred_zone();
        return choose_target_by_cost(*route_, zone, excluded_targets(), monotonic_now(),
                                     environment_.random_);
    }

    void set_request_budgets()
    {
        request_.time_left_ =
            std::chrono::milliseconds(std::max<std::int64_t>(to_milliseconds(time_left()), 0));
        const auto budget =
            row_->target_latency_ - time_used_before_ - (monotonic_now() - arrived_);
        request_.latency_budget_ =
            std::chrono::milliseconds(std::max<std::int64_t>(to_milliseconds(budget), 0));
        request_.is_last_choice_ = is_last_choice();
        request_.is_retry_ = is_retry_ || attempts_ > 1;
    }

    [[nodiscard]] auto has_untried_target() const -> bool
    {
        return tried_or_without_share_.size() < route_->targets_.size() &&
               full_targets_ <= full_targets_before_last_choice;
    }

    /** Returns whether no further target would be tried after the current one. */
    [[nodiscard]] auto is_last_choice() const -> bool
    {
        return !has_untried_target() || full_targets_ == full_targets_before_last_choice;
    }

    /** Returns the targets that were tried or have no share of the caller's limits, and the ejected
     * ones unless that would exclude all targets. */
    [[nodiscard]] auto excluded_targets() const -> std::vector<std::string>
    {
        auto names = tried_or_without_share_;
        const auto ejected = ejected_targets(*route_, monotonic_now());
        names.insert(names.end(), ejected.begin(), ejected.end());
        std::ranges::sort(names);
        names.erase(std::unique(names.begin(), names.end()), names.end());
        return names.size() < route_->targets_.size() ? names : tried_or_without_share_;
    }

    auto make_exchange_hooks(unsigned attempt_number) -> exchange_hooks
    {
        const auto self = shared_from_this();
        exchange_hooks hooks;
        hooks.on_load_report_ = [health = health_](const target_load_report& report) {
            if (health) {
                health->on_load_report(report, monotonic_now());
            }
        };
        hooks.on_response_ = [self](message_head head) {
            self->on_response(std::move(head));
        };
        hooks.on_body_ = [self](std::string_view bytes) {
            self->on_response_body(bytes);
        };
        hooks.on_end_ = [self] {
            self->on_response_end();
        };
        hooks.on_refused_ = [self, attempt_number](const refusal& refusal) {
            self->on_refused(attempt_number, refusal);
        };
        hooks.on_truncated_ = [self] {
            self->on_truncated();
        };
        hooks.on_writable_ = [self] {
            if (const auto connection = self->connection_.lock()) {
                connection->pause_reading(false);
            }
        };
        return hooks;
    }

    void on_refused(unsigned attempt_number, const refusal& refusal)
    {
        if (ended_ || is_cancelled_ || attempt_number != attempts_) {
            return;
        }
        may_have_run_ = may_have_run_ || refusal.outcome_ != request_outcome::not_run;
        reached_ += refusal.reached_target_ ? 1 : 0;
        response_buffer_.discard();
        record_failure(refusal.reason_);
        if (is_withdrawing_) {
            end_at_deadline(refusal.outcome_);
            return;
        }
        full_targets_ += is_lack_of_room(refusal.reason_) ? 1 : 0;
        target_failures_ += refusal.reason_ == refusal_reason::target_failed ? 1 : 0;
        if (target_failures_ >= max_crashed_targets) {
            refuse(make_refusal(refusal_reason::request_crashes_targets));
            return;
        }
        const auto decision = decide_retry(retry_context_for(refusal), state().budget());
        if (decision == retry_decision::retry) {
            state().count_retry(*retry_reason_of(refusal.reason_));
            log_decision(call_event::retried, name_of(refusal.reason_), refusal.outcome_);
            start_attempt();
            return;
        }
        state().count_not_retried(decision);
        // The last attempt has not run, but an earlier one may have.
        auto last = refusal;
        if (may_have_run_ && last.outcome_ == request_outcome::not_run) {
            last.outcome_ = request_outcome::unknown;
        }
        refuse(last);
    }

    void record_failure(refusal_reason reason)
    {
        if (health_ && reason == refusal_reason::target_unreachable) {
            health_->on_unreachable(monotonic_now());
        }
        else if (health_ && reason == refusal_reason::target_failed) {
            health_->on_failure(monotonic_now());
        }
    }

    [[nodiscard]] auto retry_context_for(const refusal& refusal) const -> retry_context
    {
        return {.reason_ = refusal.reason_,
                .outcome_ = refusal.outcome_,
                .repeatable_ = row_->repeatable_,
                .replayable_ = !replay_overflowed_,
                .has_untried_target_ = has_untried_target(),
                .has_retry_mark_ = is_retry_,
                .reached_target_ = refusal.reached_target_,
                .attempts_ = refusal.reached_target_ ? reached_ : attempts_,
                .retries_ = row_->retries_,
                .time_left_ = time_left()};
    }

    void on_response(message_head head)
    {
        const auto connection = connection_.lock();
        if (ended_ || !connection) {
            return;
        }
        if (health_) {
            health_->on_answer();
            const auto notice = environment_.node_.mapping().read_target_notice_(head);
            if (notice && notice->is_leaving_) {
                health_->on_leaving(target_start_);
            }
        }
        if (is_withdrawing_) {
            end_at_deadline(request_outcome::ran);
            return;
        }
        environment_.node_.mapping().strip_response_headers_(head.headers_);
        if (response_buffer::fits(head)) {
            response_buffer_.begin(std::move(head));
            return;
        }
        responded_ = true;
        connection->respond(std::move(head));
    }

    void on_response_body(std::string_view bytes)
    {
        const auto connection = connection_.lock();
        if (ended_ || !connection) {
            return;
        }
        if (response_buffer_.has_response()) {
            response_buffer_.append(bytes);
            update_charge();
            return;
        }
        connection->write(bytes);
        if (connection->queued_bytes() > queue_limit() && controls_.pause_) {
            controls_.pause_(true);
        }
    }

    void on_response_end()
    {
        if (ended_) {
            return;
        }
        end();
        state().record_call(monotonic_now() - arrived_);
        if (const auto connection = connection_.lock()) {
            responded_ = true;
            response_buffer_.send(*connection);
            connection->finish();
        }
    }

    void on_truncated()
    {
        if (ended_) {
            return;
        }
        if (!responded_) {
            on_refused(attempts_, make_refusal(refusal_reason::target_failed));
            return;
        }
        end();
        state().count_refusal(refusal_reason::target_failed);
        log_decision(call_event::cut, name_of(refusal_reason::target_failed),
                     request_outcome::unknown);
        if (const auto connection = connection_.lock()) {
            connection->abort();
        }
    }

    void on_deadline()
    {
        if (ended_) {
            return;
        }
        const auto keep = shared_from_this(); // the connection may drop its hooks
        const auto result = withdraw_exchange();
        if (result == withdrawal::pending) {
            is_withdrawing_ = true;
            withdrawal_timer_.start(max_withdrawal_time);
            return;
        }
        end_at_deadline(outcome_of(result));
    }

    /** The node is about to be ended by force. There is no time for the answer of another node. */
    void on_time_up()
    {
        if (ended_) {
            return;
        }
        const auto keep = shared_from_this(); // the connection may drop its hooks
        end_at_deadline(is_withdrawing_ ? request_outcome::unknown
                                        : outcome_of(withdraw_exchange()));
    }

    /** The node needs the memory that the call holds. */
    void on_reclaim()
    {
        if (ended_) {
            return;
        }
        const auto keep = shared_from_this(); // the connection may drop its hooks
        const auto result = is_withdrawing_ ? withdrawal::pending : withdraw_exchange();
        cancel_exchange();
        if (responded_) {
            on_truncated();
            return;
        }
        auto refusal = make_refusal(refusal_reason::overloaded);
        if (result != withdrawal::withdrawn || may_have_run_) {
            refusal.outcome_ = request_outcome::unknown;
        }
        refuse(refusal);
    }

    /** Cancels the current attempt if its target has certainly not received the request. */
    auto withdraw_exchange() -> withdrawal
    {
        if (waits_for_quota_) {
            return withdrawal::withdrawn;
        }
        const bool has_response = responded_ || response_buffer_.has_response();
        return has_response || !controls_.withdraw_ ? withdrawal::may_have_run
                                                    : controls_.withdraw_();
    }

    [[nodiscard]] static auto outcome_of(withdrawal result) -> request_outcome
    {
        return result == withdrawal::withdrawn ? request_outcome::not_run
                                               : request_outcome::unknown;
    }

    /** Ends the call at its deadline. \p outcome: of the last attempt. */
    void end_at_deadline(request_outcome outcome)
    {
        cancel_exchange();
        const bool has_not_run = outcome == request_outcome::not_run && !may_have_run_;
        if (responded_) {
            on_truncated();
        }
        else {
            refuse(make_refusal(has_not_run ? refusal_reason::not_started_in_time
                                            : refusal_reason::deadline_passed));
        }
    }

    void on_request_body(std::string_view bytes)
    {
        if (ended_) {
            return;
        }
        if (replay_buffer_.size() + bytes.size() <= max_replay_bytes) {
            replay_buffer_ += bytes;
        }
        else {
            replay_overflowed_ = true;
            replay_buffer_ = {};
        }
        update_charge();
        if (controls_.write_) {
            controls_.write_(bytes);
            const auto connection = connection_.lock();
            if (connection && controls_.queued_bytes_() > queue_limit()) {
                connection->pause_reading(true);
            }
        }
    }

    void on_request_end()
    {
        body_ended_ = true;
        if (!ended_ && request_.head_.has_body_ && controls_.finish_) {
            controls_.finish_();
        }
    }

    void on_caller_writable()
    {
        if (controls_.pause_) {
            controls_.pause_(false);
        }
    }

    void on_cancelled()
    {
        if (!ended_) {
            log_decision(call_event::abandoned, "caller_gone", request_outcome::unknown);
            cancel_exchange();
            end();
        }
    }

    void cancel_exchange()
    {
        const auto controls = std::move(controls_);
        controls_ = {};
        is_cancelled_ = true; // on_refused() ignores a late call by the cancelled attempt
        if (controls.cancel_) {
            controls.cancel_();
        }
    }

    void refuse(const refusal& refusal)
    {
        end();
        state().count_refusal(refusal.reason_);
        if (organisation_state_) {
            organisation_state_->count_refusal(refusal.reason_);
        }
        log_decision(call_event::refused, name_of(refusal.reason_), refusal.outcome_);
        if (const auto connection = connection_.lock()) {
            send_refusal(*connection, environment_.node_.mapping(), refusal, request_.service_);
        }
    }

    void log_decision(call_event event, std::string_view reason, request_outcome outcome) const
    {
        const auto table = routes_ ? routes_->table_in_force() : nullptr;
        log_call(event,
                 {.request_ = request_id_,
                  .row_ = row_ != nullptr ? row_->service_ : std::string(),
                  .service_ = request_.service_,
                  .organisation_ = request_.organisation_,
                  .target_ = request_.target_,
                  .priority_ = request_.priority_,
                  .attempts_ = attempts_,
                  .reached_ = reached_,
                  .targets_ = route_ != nullptr ? route_->targets_.size() : 0,
                  .version_ = table ? table->version_.number_ : 0,
                  .time_allowed_ = time_allowed_,
                  .age_ = monotonic_now() - arrived_},
                 reason, outcome);
    }

    void end()
    {
        if (!std::exchange(ended_, true)) {
            --environment_.node_.calls_in_flight();
        }
        if (std::exchange(waits_for_quota_, false)) {
            environment_.quotas_.cancel(request_.organisation_, quota_wait_);
        }
        deadline_timer_.stop();
        withdrawal_timer_.stop();
        controls_ = {}; // breaks the reference cycle of call, exchange and hooks
        replay_buffer_ = {};
        update_charge();
    }

    void update_charge() { charge_.set(replay_buffer_.size() + response_buffer_.size()); }

    /** Returns the number of unsent bytes above which reading from the other side is paused. */
    [[nodiscard]] auto queue_limit() const -> std::size_t
    {
        return environment_.guard_ != nullptr ? environment_.guard_->queue_limit(high_water_bytes)
                                              : high_water_bytes;
    }

    call_environment environment_;
    std::weak_ptr<http1_server_connection> connection_;
    instant arrived_;
    std::chrono::milliseconds time_allowed_{0}; ///< From arrived_ to the deadline.
    duration time_used_before_{0};              ///< Time that the caller's earlier tries took.
    quota_wait_id quota_wait_ = 0;
    bool waits_for_quota_ = false; ///< No attempt has started.
    bool is_body_held_ = false;    ///< The body is not read until an attempt starts.
    bool is_retry_ = false;        ///< The caller marked the call as part of a retried call.
    exchange_request request_;
    std::string request_id_;
    std::shared_ptr<const route_table> routes_;
    const row* row_ = nullptr;
    const organisation* organisation_ = nullptr; ///< Whose API key the caller presented.
    std::shared_ptr<organisation_state> organisation_state_; ///< May be null.
    const service_route* route_ = nullptr;  ///< The service chosen for the call, with its targets.
    std::shared_ptr<target_health> health_; ///< Of the target of the current attempt.
    std::uint64_t target_start_ = 0;        ///< As in its target_record.
    exchange_controls controls_;
    /** The targets that were tried or have no share of the caller's limits. */
    std::vector<std::string> tried_or_without_share_;
    std::string replay_buffer_; ///< The request's body so far, for further attempts.
    deadline_timer deadline_timer_{[this] {
        on_deadline();
    }};
    /** Runs while the other node is asked to withdraw the request. */
    deadline_timer withdrawal_timer_{[this] {
        const auto keep = shared_from_this(); // the connection may drop its hooks
        end_at_deadline(request_outcome::unknown);
    }};
    response_buffer response_buffer_;
    memory_charge charge_{environment_.guard_}; ///< For the two buffers.
    unsigned attempts_ = 0;
    unsigned reached_ = 0;           ///< Attempts that a target has or may have received.
    unsigned target_failures_ = 0;   ///< Attempts that failed at the target.
    unsigned full_targets_ = 0;      ///< Attempts refused by targets that had no room.
    bool replay_overflowed_ = false; ///< The body is larger than max_replay_bytes.
    bool body_ended_ = false;
    bool responded_ = false;      ///< The response to the caller has begun.
    bool may_have_run_ = false;   ///< At any of the targets tried.
    bool is_withdrawing_ = false; ///< The deadline has passed; see withdrawal_timer_.
    bool is_cancelled_ = false;   ///< The current attempt was cancelled.
    bool ended_ = false;
};

} // namespace

auto start_caller_call(const call_environment& environment,
                       const std::shared_ptr<http1_server_connection>& connection,
                       message_head head) -> request_hooks
{
    const auto call = std::make_shared<caller_call>(environment, connection, std::move(head));
    call->start();
    return call->make_request_hooks();
}

} // namespace sycamorewinch
