#include "standin/added_latency.h"

#include <array>
#include <memory>

#include "base/time.h"
#include "http1/http1_client_connection.h"
#include "standin/load_generator.h"
#include "standin/loopback_socket.h"

namespace sycamorewinch {

namespace {

constexpr unsigned ok_status = 200;
constexpr std::chrono::seconds call_timeout{10};

/** Measures calls on one path, over one connection that is reopened when it closes. */
class latency_probe {
  public:
    latency_probe(const peer_address& address, std::string path)
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
        const auto call_state = std::make_shared<call_result>();
        const auto start = monotonic_now();
        connection_->start(std::move(head), make_hooks(call_state));
        const bool is_in_time = wait_until([&] { return call_state->is_done_; }, call_timeout);
        if (is_in_time && call_state->status_ == ok_status) {
            sample.seconds_.push_back(to_seconds(call_state->ended_ - start));
            return;
        }
        ++sample.failed_;
        connection_->cancel();
    }

  private:
    struct call_result {
        unsigned status_ = 0;
        bool is_done_ = false;
        instant ended_{};
    };

    static auto make_hooks(const std::shared_ptr<call_result>& call_state) -> client_exchange_hooks
    {
        client_exchange_hooks hooks;
        hooks.on_response_ = [call_state](const message_head& head) {
            call_state->status_ = head.status_;
        };
        hooks.on_end_ = [call_state] {
            call_state->ended_ = monotonic_now();
            call_state->is_done_ = true;
        };
        hooks.on_failed_ = [call_state](exchange_failure) {
            call_state->status_ = 0;
            call_state->is_done_ = true;
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
    added_latency measured;
    latency_probe direct(plan.direct_, plan.path_);
    latency_probe through(plan.through_, plan.path_);
    const auto start = monotonic_now();
    for (std::uint64_t number = 0; number < plan.calls_; ++number) {
        if (plan.per_second_ > 0) {
            const auto due = static_cast<double>(number) / plan.per_second_;
            (void)wait_until([&] { return to_seconds(monotonic_now() - start) >= due; });
        }
        // Alternate the order, so that the same path does not always come first after the pause.
        const std::array<bool, 2> order{number % 2 == 0, number % 2 != 0};
        for (const bool is_direct : order) {
            is_direct ? direct.call(measured.direct_) : through.call(measured.through_);
        }
    }
    return measured;
}

} // namespace sycamorewinch
