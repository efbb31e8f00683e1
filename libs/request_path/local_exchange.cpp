#include "request_path/local_exchange.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

/** The part of a service's load that falls to one target, from the weights in force. */
auto share_of(const service_route& route, const std::string& target) -> double
{
    for (const auto& candidate : route.targets_) {
        if (candidate.record_.target_ == target) {
            return candidate.weight_ / route.total_weight_;
        }
    }
    return 1.0 / static_cast<double>(route.targets_.size() + 1);
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
        auto decision = target->admission_->admit(
            *route->row_, request.caller_, share_of(*route, request.target_), monotonic_now());
        if (decision.refusal_) {
            refuse(make_refusal(*decision.refusal_));
            return;
        }
        admission_ = target->admission_;
        ticket_ = std::move(decision.ticket_);
        address_ = target->address_;
        connection_ = connections_.take(address_, !route->row_->repeatable_);
        connection_->start(request.head_, make_hooks());
    }

    auto controls() -> exchange_controls
    {
        const auto self = shared_from_this();
        return {
            [self](std::string_view bytes) {
                if (self->connection_) {
                    self->connection_->write(bytes);
                }
            },
            [self] {
                if (self->connection_) {
                    self->connection_->finish();
                }
            },
            [self] { self->cancel(); },
            [self](bool paused) {
                if (self->connection_) {
                    self->connection_->pause_reading(paused);
                }
            },
            [self] { return self->connection_ ? self->connection_->queued_bytes() : 0; },
        };
    }

  private:
    auto make_hooks() -> client_exchange_hooks
    {
        const auto self = shared_from_this();
        client_exchange_hooks hooks;
        hooks.on_response_ = [self](message_head head) {
            self->responded_ = true;
            self->hooks_.on_response_(std::move(head));
        };
        hooks.on_body_ = [self](std::string_view bytes) {
            self->hooks_.on_body_(bytes);
        };
        hooks.on_end_ = [self] {
            auto connection = std::move(self->connection_);
            self->ticket_ = admission_ticket();
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
        if (responded_) {
            hooks_.on_broken_();
        }
        else {
            refuse(make_refusal(failure == exchange_failure::not_sent
                                    ? refusal_reason::target_unreachable
                                    : refusal_reason::target_failed));
        }
    }

    void refuse(const refusal& refusal) { hooks_.on_refused_(refusal); }

    void cancel()
    {
        if (connection_) {
            connection_->cancel();
            connection_.reset();
        }
        ticket_ = admission_ticket();
    }

    target_connections& connections_;
    exchange_hooks hooks_;
    std::shared_ptr<admission> admission_; ///< Outlives the ticket.
    admission_ticket ticket_;
    peer_address address_;
    std::shared_ptr<http1_client_connection> connection_;
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
