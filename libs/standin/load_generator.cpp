#include "standin/load_generator.h"

#include <algorithm>
#include <cmath>

#include <QTimer>

#include "base/time.h"

namespace sycamorewinch {

namespace {

class load_run : public std::enable_shared_from_this<load_run> {
  public:
    load_run(const load_options& options, std::function<void(const load_result&)> on_done)
        : options_(options), on_done_(std::move(on_done))
    {
        idle_connections_.resize(options.nodes_.size());
    }

    void start()
    {
        if (options_.per_second_ > 0) {
            load_start_ = monotonic_now();
            QObject::connect(&pace_timer_, &QTimer::timeout, &pace_timer_,
                             [this] { start_due_calls(); });
            pace_timer_.start(std::chrono::milliseconds(1));
            return;
        }
        for (unsigned slot = 0; slot < options_.concurrency_; ++slot) {
            start_next_call();
        }
    }

  private:
    void start_due_calls()
    {
        const auto due = to_seconds(monotonic_now() - load_start_) * options_.per_second_;
        while (started_ < options_.calls_ && static_cast<double>(started_) < due) {
            start_next_call();
        }
    }

    void start_next_call()
    {
        if (started_ == options_.calls_) {
            return;
        }
        const auto node = started_++ % options_.nodes_.size();
        auto connection = take_connection(node);
        message_head head;
        head.method_ = options_.method_;
        head.path_ = options_.path_;
        head.headers_ = {{"host", "standin"}};
        if (!options_.caller_.empty()) {
            head.headers_.push_back({"sycamorewinch-caller", options_.caller_});
        }
        const auto record = std::make_shared<call_record>();
        record->node_ = node;
        if (!options_.key_prefix_.empty()) {
            record->key_ = options_.key_prefix_ + "-" + std::to_string(started_);
            head.headers_.push_back({"idempotency-key", record->key_});
            head.path_ += options_.append_key_to_path_ ? "/" + record->key_ : "";
        }
        if (options_.on_call_started_) {
            options_.on_call_started_(*record);
        }
        const auto call_start = monotonic_now();
        const auto self = shared_from_this();
        client_exchange_hooks hooks;
        hooks.on_response_ = [self, record, call_start](const message_head& response) {
            record->response_time_ = monotonic_now() - call_start;
            record->status_ = response.status_;
            self->record_response(response, *record);
        };
        hooks.on_body_ = [record](std::string_view bytes) {
            record->body_ += bytes;
        };
        hooks.on_end_ = [self, node, connection, record, call_start] {
            self->result_.seconds_.push_back(to_seconds(monotonic_now() - call_start));
            if (connection->is_reusable()) {
                self->idle_connections_[node].push_back(connection);
            }
            self->finish(*record);
        };
        hooks.on_failed_ = [self, record](exchange_failure failure) {
            self->result_.not_sent_ += failure == exchange_failure::not_sent ? 1 : 0;
            record->status_ = 0; // a truncated response does not count as a response
            self->finish(*record);
        };
        connection->start(std::move(head), std::move(hooks));
    }

    auto take_connection(std::size_t node) -> std::shared_ptr<http1_client_connection>
    {
        auto& idle = idle_connections_[node];
        if (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (connection->is_reusable()) {
                return connection;
            }
        }
        const auto& address = options_.nodes_[node];
        return http1_client_connection::dial(address.host_, address.port_);
    }

    void record_response(const message_head& response, call_record& record)
    {
        const auto refusal = find_header(response.headers_, "sycamorewinch-refusal");
        if (!refusal.empty()) {
            record.refusal_ = refusal;
            record.outcome_ = find_header(response.headers_, "sycamorewinch-outcome");
            ++result_.by_refusal_[std::string(refusal)];
            return;
        }
        ++result_.by_target_[std::string(find_header(response.headers_, "x-target"))];
    }

    void finish(const call_record& record)
    {
        ++result_.by_status_[record.status_];
        if (options_.on_call_) {
            options_.on_call_(record);
        }
        if (++finished_ == options_.calls_) {
            pace_timer_.stop();
            on_done_(result_);
            return;
        }
        if (options_.per_second_ <= 0) {
            QTimer::singleShot(0, &context_, [this] { start_next_call(); });
        }
    }

    load_options options_;
    std::function<void(const load_result&)> on_done_;
    load_result result_;
    std::vector<std::vector<std::shared_ptr<http1_client_connection>>> idle_connections_;
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
    instant load_start_{};
    QTimer pace_timer_;
    QObject context_;
};

} // namespace

auto generate_load(const load_options& options, std::function<void(const load_result&)> on_done)
    -> std::shared_ptr<void>
{
    const auto run = std::make_shared<load_run>(options, std::move(on_done));
    run->start();
    return run;
}

auto quantile_of(std::vector<double> seconds, double fraction) -> double
{
    if (seconds.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(seconds.size() - 1);
    const auto position = seconds.begin() + static_cast<std::ptrdiff_t>(std::ceil(last * fraction));
    std::ranges::nth_element(seconds, position);
    return *position;
}

} // namespace sycamorewinch
