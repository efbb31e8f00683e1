#include "standin/load_maker.h"

#include <algorithm>
#include <cmath>

#include <QTimer>

#include "base/time.h"

namespace sycamorewinch {

namespace {

class load_run : public std::enable_shared_from_this<load_run> {
  public:
    load_run(const load_options& options, std::function<void(const load_outcome&)> done)
        : options_(options), done_(std::move(done))
    {
        idle_.resize(options.nodes_.size());
    }

    void start()
    {
        if (options_.per_second_ > 0) {
            begin_ = monotonic_now();
            QObject::connect(&pacer_, &QTimer::timeout, &pacer_, [this] { pace(); });
            pacer_.start(std::chrono::milliseconds(1));
            return;
        }
        for (unsigned slot = 0; slot < options_.concurrency_; ++slot) {
            next();
        }
    }

  private:
    void pace()
    {
        const auto due = to_seconds(monotonic_now() - begin_) * options_.per_second_;
        while (started_ < options_.calls_ && static_cast<double>(started_) < due) {
            next();
        }
    }

    void next()
    {
        if (started_ == options_.calls_) {
            return;
        }
        const auto node = started_++ % options_.nodes_.size();
        auto connection = take(node);
        message_head head;
        head.method_ = options_.method_;
        head.path_ = options_.path_;
        head.headers_ = {{"host", "standin"}};
        if (!options_.caller_.empty()) {
            head.headers_.push_back({"sycamorewinch-caller", options_.caller_});
        }
        const auto record = std::make_shared<call_record>();
        if (!options_.key_prefix_.empty()) {
            record->key_ = options_.key_prefix_ + "-" + std::to_string(started_);
            head.headers_.push_back({"idempotency-key", record->key_});
            head.path_ += options_.has_key_in_path_ ? "/" + record->key_ : "";
        }
        if (options_.on_begin_) {
            options_.on_begin_(record->key_);
        }
        const auto began = monotonic_now();
        const auto self = shared_from_this();
        client_exchange_hooks hooks;
        hooks.on_response_ = [self, record](const message_head& answer) {
            record->status_ = answer.status_;
            self->note_answer(answer, *record);
        };
        hooks.on_body_ = [record](std::string_view bytes) {
            record->body_ += bytes;
        };
        hooks.on_end_ = [self, node, connection, record, began] {
            self->outcome_.seconds_.push_back(to_seconds(monotonic_now() - began));
            if (connection->is_reusable()) {
                self->idle_[node].push_back(connection);
            }
            self->finish(*record);
        };
        hooks.on_failed_ = [self, record](exchange_failure failure) {
            self->outcome_.not_sent_ += failure == exchange_failure::not_sent ? 1 : 0;
            record->status_ = 0; // what arrived of an answer does not count
            self->finish(*record);
        };
        connection->start(std::move(head), std::move(hooks));
    }

    auto take(std::size_t node) -> std::shared_ptr<http1_client_connection>
    {
        auto& idle = idle_[node];
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

    void note_answer(const message_head& answer, call_record& record)
    {
        const auto refusal = find_header(answer.headers_, "sycamorewinch-refusal");
        if (!refusal.empty()) {
            record.refusal_ = refusal;
            record.outcome_ = find_header(answer.headers_, "sycamorewinch-outcome");
            ++outcome_.by_refusal_[std::string(refusal)];
            return;
        }
        ++outcome_.by_target_[std::string(find_header(answer.headers_, "x-target"))];
    }

    void finish(const call_record& record)
    {
        ++outcome_.by_status_[record.status_];
        if (options_.on_call_) {
            options_.on_call_(record);
        }
        if (++finished_ == options_.calls_) {
            pacer_.stop();
            done_(outcome_);
            return;
        }
        if (options_.per_second_ <= 0) {
            QTimer::singleShot(0, &context_, [this] { next(); });
        }
    }

    load_options options_;
    std::function<void(const load_outcome&)> done_;
    load_outcome outcome_;
    std::vector<std::vector<std::shared_ptr<http1_client_connection>>> idle_;
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
    instant begin_{};
    QTimer pacer_;
    QObject context_;
};

} // namespace

auto make_load(const load_options& options, std::function<void(const load_outcome&)> done)
    -> std::shared_ptr<void>
{
    const auto run = std::make_shared<load_run>(options, std::move(done));
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
