#include "request_path/caller_call.h"

#include <algorithm>
#include <cstdint>
#include <optional>

#include <QTimer>

#include "policy/limit_share.h"
#include "policy/target_choice.h"
#include "request_path/call_log.h"
#include "request_path/held_answer.h"
#include "request_path/peer_headers.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t max_replay_bytes = 64U * 1024;
constexpr std::size_t high_water_bytes = 256U * 1024;
/** Where so many targets in a row had no slot, the next one has the last say: asking all of a large
 * service would take longer than the caller waits, and most of the nodes' time in a rush. */
constexpr unsigned full_targets_before_last = 2;

class caller_call : public std::enable_shared_from_this<caller_call> {
  public:
    caller_call(const call_environment& environment,
                const std::shared_ptr<http1_server_connection>& connection, message_head head)
        : environment_(environment), connection_(connection), started_(monotonic_now())
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
        const auto terms = environment_.node_.mapping().read_metadata_(request_.head_);
        request_id_ = terms.request_id_;
        const auto* matched = routes_->match(request_.head_.path_, terms.host_);
        if (matched == nullptr) {
            refuse(make_refusal(has_table() ? refusal_reason::no_route
                                            : refusal_reason::table_not_proved));
            return;
        }
        row_ = matched->row_;
        if (terms.time_allowed_ && matched->state_) {
            used_before_ =
                matched->state_->caller_timeouts().time_used(*terms.time_allowed_, started_);
        }
        route_ = &choose_destination(*matched, environment_.random_);
        prepare_request(terms);
        arm_deadline();
        attempt();
    }

    auto make_request_hooks() -> request_hooks
    {
        const auto self = shared_from_this();
        return {
            [self](std::string_view bytes) { self->on_request_body(bytes); },
            [self] { self->on_request_end(); },
            [self] { self->on_caller_writable(); },
            [self] { self->on_cancelled(); },
        };
    }

  private:
    void prepare_request(const call_metadata& terms)
    {
        request_.caller_ = terms.caller_;
        request_.origin_ = terms.origin_;
        request_.service_ = route_->service_;
        request_.priority_ = row_->priority_;
        request_.repeatable_ = row_->repeatable_;
        time_allowed_ = std::min(row_->timeout_, terms.time_allowed_.value_or(row_->timeout_));
        has_retry_mark_ = terms.is_retry_;
        state().budget().earn();
        // A caller with small limits may only use some of the targets.
        tried_ = targets_without_share(*route_, request_.caller_, row_->limit_of(request_.caller_));
        remove_system_headers(request_.head_.headers_);
    }

    /** Before the first table is accepted, "no route" would say more than is known. */
    [[nodiscard]] auto has_table() const -> bool
    {
        const auto& table = routes_->table_in_force();
        return table && table->version_.number_ > 0;
    }

    [[nodiscard]] auto time_left() const -> duration
    {
        return time_allowed_ - (monotonic_now() - started_);
    }

    [[nodiscard]] auto state() -> service_state&
    {
        return route_ != nullptr && route_->state_ ? *route_->state_
                                                   : environment_.node_.unrouted();
    }

    void arm_deadline()
    {
        deadline_.setSingleShot(true);
        QObject::connect(&deadline_, &QTimer::timeout, &deadline_,
                         [self = shared_from_this()] { self->on_deadline(); });
        deadline_.start(time_allowed_);
    }

    void attempt()
    {
        const auto* target = choose();
        if (target == nullptr) {
            refuse(make_refusal(refusal_reason::no_target));
            return;
        }
        const auto number = ++attempts_;
        request_.target_ = target->record_.target_;
        health_ = target->health_;
        tried_.push_back(request_.target_);
        set_travelling_terms();
        const auto address = parse_peer_address(target->record_.node_address_);
        auto hooks = make_exchange_hooks(number);
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
            on_refused(number, make_refusal(refusal_reason::target_unreachable));
            return;
        }
        if (number != attempts_ || ended_) {
            return; // refused at once, and another attempt has taken over
        }
        controls_ = std::move(controls);
        if (!replay_.empty()) {
            controls_.write_(replay_);
        }
        if (body_ended_ && request_.head_.has_body_) {
            controls_.finish_();
        }
    }

    /** A limit is shared out evenly over the targets, and so are the calls of who has one. */
    [[nodiscard]] auto choose() const -> const weighted_target*
    {
        if (is_limited(row_->limit_of(request_.caller_))) {
            return choose_target(*route_, excluded(), environment_.random_);
        }
        const auto zone = is_last_choice() ? std::string() : environment_.node_.preferred_zone();
        return choose_target_by_cost(*route_, zone, excluded(), monotonic_now(),
                                     environment_.random_);
    }

    void set_travelling_terms()
    {
        request_.time_left_ =
            std::chrono::milliseconds(std::max<std::int64_t>(to_milliseconds(time_left()), 0));
        const auto in_aim = row_->target_latency_ - used_before_ - (monotonic_now() - started_);
        request_.time_in_aim_ =
            std::chrono::milliseconds(std::max<std::int64_t>(to_milliseconds(in_aim), 0));
        request_.is_last_choice_ = is_last_choice();
        request_.is_retry_ = has_retry_mark_ || attempts_ > 1;
    }

    [[nodiscard]] auto is_untried_left() const -> bool
    {
        return tried_.size() < route_->targets_.size() && full_targets_ <= full_targets_before_last;
    }

    /** Whether no further target would be tried after the one chosen or being chosen. */
    [[nodiscard]] auto is_last_choice() const -> bool
    {
        return !is_untried_left() || full_targets_ == full_targets_before_last;
    }

    /** The targets tried or without a share, and those that fail unless these are all the rest. */
    [[nodiscard]] auto excluded() const -> std::vector<std::string>
    {
        auto names = tried_;
        const auto ejected = ejected_targets(*route_, monotonic_now());
        names.insert(names.end(), ejected.begin(), ejected.end());
        std::ranges::sort(names);
        names.erase(std::unique(names.begin(), names.end()), names.end());
        return names.size() < route_->targets_.size() ? names : tried_;
    }

    auto make_exchange_hooks(unsigned number) -> exchange_hooks
    {
        const auto self = shared_from_this();
        exchange_hooks hooks;
        hooks.on_status_ = [health = health_](const target_load_report& status) {
            if (health) {
                health->on_status(status, monotonic_now());
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
        hooks.on_refused_ = [self, number](const refusal& refusal) {
            self->on_refused(number, refusal);
        };
        hooks.on_broken_ = [self] {
            self->on_broken();
        };
        hooks.on_writable_ = [self] {
            if (const auto connection = self->connection_.lock()) {
                connection->pause_reading(false);
            }
        };
        return hooks;
    }

    void on_refused(unsigned number, const refusal& refusal)
    {
        if (ended_ || number != attempts_) {
            return;
        }
        ran_ = ran_ || refusal.outcome_ != request_outcome::not_run;
        reached_ += refusal.reached_target_ ? 1 : 0;
        held_answer_.drop();
        note_failure(refusal.reason_);
        full_targets_ += refusal.reason_ == refusal_reason::target_full ? 1 : 0;
        crashes_ += refusal.reason_ == refusal_reason::target_failed ? 1 : 0;
        if (crashes_ >= max_crashed_targets) {
            refuse(make_refusal(refusal_reason::request_crashes_targets));
            return;
        }
        const auto decision = decide_retry(question_of(refusal), state().budget());
        if (decision == retry_decision::retry) {
            state().count_retry(*retry_reason_of(refusal.reason_));
            log_decision(call_event::retried, name_of(refusal.reason_), refusal.outcome_);
            attempt();
            return;
        }
        state().count_not_retried(decision);
        // An earlier attempt may have run, whatever is known of the last one.
        auto last = refusal;
        if (ran_ && last.outcome_ == request_outcome::not_run) {
            last.outcome_ = request_outcome::unknown;
        }
        refuse(last);
    }

    void note_failure(refusal_reason reason)
    {
        if (health_ && reason == refusal_reason::target_unreachable) {
            health_->on_unreachable(monotonic_now());
        }
        else if (health_ && reason == refusal_reason::target_failed) {
            health_->on_failure(monotonic_now());
        }
    }

    [[nodiscard]] auto question_of(const refusal& refusal) const -> retry_context
    {
        return {.reason_ = refusal.reason_,
                .outcome_ = refusal.outcome_,
                .repeatable_ = row_->repeatable_,
                .replayable_ = !replay_lost_,
                .has_untried_target_ = is_untried_left(),
                .has_retry_mark_ = has_retry_mark_,
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
        }
        environment_.node_.mapping().strip_response_headers_(head.headers_);
        if (held_answer::is_short(head)) {
            held_answer_.begin(std::move(head));
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
        if (held_answer_.is_begun()) {
            held_answer_.add(bytes);
            return;
        }
        connection->write(bytes);
        if (connection->queued_bytes() > high_water_bytes && controls_.pause_) {
            controls_.pause_(true);
        }
    }

    void on_response_end()
    {
        if (ended_) {
            return;
        }
        end();
        state().record_call(monotonic_now() - started_);
        if (const auto connection = connection_.lock()) {
            responded_ = true;
            held_answer_.send(*connection);
            connection->finish();
        }
    }

    void on_broken()
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
        cancel_exchange();
        if (responded_) {
            on_broken();
        }
        else {
            refuse(make_refusal(refusal_reason::deadline_passed));
        }
    }

    void on_request_body(std::string_view bytes)
    {
        if (ended_) {
            return;
        }
        if (replay_.size() + bytes.size() <= max_replay_bytes) {
            replay_ += bytes;
        }
        else {
            replay_lost_ = true;
        }
        if (controls_.write_) {
            controls_.write_(bytes);
            const auto connection = connection_.lock();
            if (connection && controls_.queued_bytes_() > high_water_bytes) {
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
        ++attempts_; // late hooks of the cancelled attempt no longer count
        if (controls.cancel_) {
            controls.cancel_();
        }
    }

    void refuse(const refusal& refusal)
    {
        end();
        state().count_refusal(refusal.reason_);
        log_decision(call_event::refused, name_of(refusal.reason_), refusal.outcome_);
        if (const auto connection = connection_.lock()) {
            answer_refusal(*connection, environment_.node_.mapping(), refusal, request_.service_);
        }
    }

    void log_decision(call_event event, std::string_view reason, request_outcome outcome) const
    {
        const auto table = routes_ ? routes_->table_in_force() : nullptr;
        log_call(event,
                 {.request_ = request_id_,
                  .row_ = row_ != nullptr ? row_->service_ : std::string(),
                  .service_ = request_.service_,
                  .target_ = request_.target_,
                  .priority_ = request_.priority_,
                  .attempts_ = attempts_,
                  .reached_ = reached_,
                  .targets_ = route_ != nullptr ? route_->targets_.size() : 0,
                  .version_ = table ? table->version_.number_ : 0,
                  .age_ = monotonic_now() - started_},
                 reason, outcome);
    }

    void end()
    {
        if (!std::exchange(ended_, true)) {
            --environment_.node_.calls_in_flight();
        }
        deadline_.stop();
        deadline_.disconnect();
        controls_ = {}; // breaks the cycle of call, exchange and hooks
    }

    call_environment environment_;
    std::weak_ptr<http1_server_connection> connection_;
    instant started_;
    std::chrono::milliseconds time_allowed_{0}; ///< From the start to the deadline.
    duration used_before_{0};                   ///< By earlier tries of the caller.
    bool has_retry_mark_ = false;               ///< The call belongs to a retried call.
    exchange_request request_;
    std::string request_id_;
    std::shared_ptr<const route_table> routes_;
    const row* row_ = nullptr;
    const service_route* route_ = nullptr;  ///< The targets of the service that takes the call.
    std::shared_ptr<target_health> health_; ///< Of the target being tried.
    exchange_controls controls_;
    std::vector<std::string> tried_;
    std::string replay_;
    QTimer deadline_;
    held_answer held_answer_;
    unsigned attempts_ = 0;
    unsigned reached_ = 0; ///< Attempts that a target had, or may have had.
    unsigned crashes_ = 0; ///< Attempts that broke at the target.
    unsigned full_targets_ = 0;
    bool replay_lost_ = false;
    bool body_ended_ = false;
    bool responded_ = false;
    bool ran_ = false;
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
