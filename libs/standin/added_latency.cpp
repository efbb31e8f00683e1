#include "standin/added_latency.h"

#include <array>
#include <memory>

#include "base/time.h"
#include "http1/http1_client_connection.h"
#include "standin/load_maker.h"
#include "standin/raw_socket.h"

namespace sycamorewinch {

namespace {

constexpr unsigned ok_status = 200;
constexpr std::chrono::seconds call_watchdog{10};

/** One way to the target, over one connection that is opened again when it ends. */
class measured_way {
  public:
    measured_way(const peer_address& address, std::string path)
        : address_(address), path_(std::move(path))
    {
    }

    void call(latency_sample& sample)
    {
        if (!connection_ || !connection_->is_reusable()) {
            connection_ = http1_client_connection::dial(address_.host_, address_.port_);
        }
        message_head head;
        head.method_ = "GET";
        head.path_ = path_;
        head.headers_ = {{"host", "standin"}};
        const auto outcome = std::make_shared<call_outcome>();
        const auto began = monotonic_now();
        connection_->start(std::move(head), make_hooks(outcome));
        const bool is_in_time = wait_until([&] { return outcome->done_; }, call_watchdog);
        if (is_in_time && outcome->status_ == ok_status) {
            sample.seconds_.push_back(to_seconds(outcome->ended_ - began));
            return;
        }
        ++sample.failed_;
        connection_->cancel();
    }

  private:
    struct call_outcome {
        unsigned status_ = 0;
        bool done_ = false;
        instant ended_{};
    };

    static auto make_hooks(const std::shared_ptr<call_outcome>& outcome) -> client_exchange_hooks
    {
        client_exchange_hooks hooks;
        hooks.on_response_ = [outcome](const message_head& head) {
            outcome->status_ = head.status_;
        };
        hooks.on_end_ = [outcome] {
            outcome->ended_ = monotonic_now();
            outcome->done_ = true;
        };
        hooks.on_failed_ = [outcome](exchange_failure) {
            outcome->status_ = 0;
            outcome->done_ = true;
        };
        return hooks;
    }

    peer_address address_;
    std::string path_;
    std::shared_ptr<http1_client_connection> connection_;
};

} // namespace

auto latency_sample::at(double fraction) const -> double
{
    return quantile_of(seconds_, fraction);
}

auto measure_added_latency(const latency_plan& plan) -> added_latency
{
    added_latency seen;
    measured_way direct(plan.direct_, plan.path_);
    measured_way through(plan.through_, plan.path_);
    const auto began = monotonic_now();
    for (std::uint64_t number = 0; number < plan.calls_; ++number) {
        if (plan.per_second_ > 0) {
            const auto due = static_cast<double>(number) / plan.per_second_;
            (void)wait_until([&] { return to_seconds(monotonic_now() - began) >= due; });
        }
        // In turn first and second, so that neither way always follows the pause.
        const std::array<bool, 2> order{number % 2 == 0, number % 2 != 0};
        for (const bool is_direct : order) {
            is_direct ? direct.call(seen.direct_) : through.call(seen.through_);
        }
    }
    return seen;
}

} // namespace sycamorewinch
