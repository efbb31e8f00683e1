#include "quota_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr duration network_delay = std::chrono::milliseconds(4);
/** How often the control group proves a node's table current. */
constexpr duration proof_period = std::chrono::milliseconds(400);
constexpr duration max_proof_age = proof_period * 3 / 2;
constexpr duration window = std::chrono::seconds(5);
const std::string organisation_name = "acme";

auto address_of(std::size_t node) -> std::string
{
    return fmt::format("10.0.0.{}:7000", node + 1);
}

} // namespace

auto quota_outcome::most_in_window(instant from, instant until) const -> std::size_t
{
    std::size_t most = 0;
    auto first = std::ranges::lower_bound(runs_, from);
    const auto end = std::ranges::lower_bound(runs_, until);
    for (auto last = first; last < end; ++last) {
        while (*last - *first >= window) {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

auto quota_outcome::lost_part(instant from) const -> double
{
    const auto count_since = [from](const std::vector<instant>& times) {
        return static_cast<double>(times.end() - std::ranges::lower_bound(times, from));
    };
    const auto lost = count_since(refusals_);
    return lost / std::max(lost + count_since(runs_), 1.0);
}

struct quota_simulation::node {
    quota_limit limit_;
    std::shared_ptr<const quota_nodes> view_;
    std::uint64_t publication_ = 0; ///< Number of view_.
    holder_reachability reachability_;
    quota_holder holder_;
    std::unique_ptr<quota_service> service_;
    std::unique_ptr<quota_client> client_;
    bool is_killed_ = false;
    std::vector<std::function<void()>> delayed_; ///< Until the node is thawed.
};

quota_simulation::quota_simulation(std::size_t nodes, quota_limit limit, std::uint64_t seed)
    : random_(seeded_random(seed)), start_(std::chrono::hours(1)), now_(start_), limit_(limit)
{
    for (std::size_t number = 0; number < nodes; ++number) {
        nodes_.push_back(make_node(number));
        numbers_.emplace(address_of(number), number);
    }
    publish_nodes(duration(0));
    run_until(start_ + duration(1));
}

auto quota_simulation::make_node(std::size_t number) -> std::unique_ptr<node>
{
    auto created = std::make_unique<node>();
    auto& self = *created;
    self.limit_ = limit_;
    const auto send_hook = [this, number](const std::string& to, const quota_ask& ask,
                                          std::chrono::milliseconds timeout, grant_hook answer) {
        send(number, to, ask, timeout, std::move(answer));
    };
    self.service_ = std::make_unique<quota_service>(
        self.reachability_,
        quota_service_hooks{send_hook, [this, number] { return proved_at(number); }, max_proof_age,
                            [&self](const quota_ask& ask, holder_role role, instant time) {
                                return self.holder_.grant(ask, self.limit_, role, time);
                            },
                            [&self](const std::string& organisation) {
                                self.holder_.end_substitution(organisation);
                            },
                            [&self] {
                                self.holder_.clear();
                            }});
    quota_client_hooks hooks;
    hooks.send_ = send_hook;
    hooks.grant_here_ = [&self](const quota_ask& ask, holder_role role, instant time) {
        return self.service_->answer_own(ask, role, *self.view_, time);
    };
    self.client_ = std::make_unique<quota_client>(self.reachability_, std::move(hooks));
    return created;
}

quota_simulation::~quota_simulation() = default;

void quota_simulation::add_load(double per_second, instant from, instant until,
                                std::vector<std::size_t> entries)
{
    const auto gap = -std::log(1 - uniform_unit(random_)) / per_second;
    const auto next = from + duration(static_cast<std::int64_t>(gap * std::micro::den));
    if (next >= until) {
        return;
    }
    at(next, [this, per_second, next, until, entries = std::move(entries)] {
        request(random_node(entries));
        add_load(per_second, next, until, entries);
    });
}

void quota_simulation::at(instant at, std::function<void()> action)
{
    events_.push({at, ++last_event_, std::move(action)});
}

void quota_simulation::run_until(instant end)
{
    while (!events_.empty() && events_.top().at_ <= end) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.at_;
        next.action_();
    }
    now_ = end;
}

void quota_simulation::kill(std::size_t node, bool is_silent)
{
    nodes_[node]->is_killed_ = true;
    if (is_silent) {
        silent_.insert(node);
    }
}

void quota_simulation::restart(std::size_t node)
{
    ended_nodes_.push_back(std::exchange(nodes_[node], make_node(node)));
    silent_.erase(node);
    set_view(node, up_, publication_);
}

void quota_simulation::cut_off(const std::set<std::size_t>& nodes)
{
    ++last_cut_group_;
    for (const auto node : nodes) {
        cut_[node] = {last_cut_group_, now_};
    }
}

auto quota_simulation::proved_at(std::size_t node) const -> instant
{
    const auto found = cut_.find(node);
    const auto until = found == cut_.end() ? now_ : found->second.since_;
    // Each node is proved current at other times.
    const auto offset = proof_period * static_cast<std::int64_t>(node % 16) / 16;
    const auto since_epoch = until.time_since_epoch() - offset;
    return instant(since_epoch - since_epoch % proof_period + offset);
}

void quota_simulation::reconnect(std::size_t node, duration skew)
{
    cut_.erase(node);
    at(now_ + uniform_between(random_, duration(0), skew), [this, node] {
        if (!cut_.contains(node)) {
            on_node(node, [this, node] { set_view(node, up_, publication_); });
        }
    });
}

void quota_simulation::set_view(std::size_t node, quota_nodes view, std::uint64_t publication)
{
    auto& self = *nodes_[node];
    if (publication < self.publication_) {
        return;
    }
    self.publication_ = publication;
    view.own_ = address_of(node);
    self.view_ = std::make_shared<const quota_nodes>(view);
    self.holder_.on_nodes_changed(
        [&view](const std::string& organisation) { return is_holder(organisation, view); });
}

void quota_simulation::thaw(std::size_t node)
{
    frozen_.erase(node);
    for (const auto& action : std::exchange(nodes_[node]->delayed_, {})) {
        action();
    }
}

void quota_simulation::publish_nodes(duration skew, const std::set<std::size_t>& without)
{
    quota_nodes up;
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
        if (!nodes_[number]->is_killed_ && !without.contains(number)) {
            up.addresses_.push_back(address_of(number));
        }
    }
    std::ranges::sort(up.addresses_);
    up_ = up;
    const auto publication = ++publication_;
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
        if (cut_.contains(number)) {
            continue;
        }
        at(now_ + uniform_between(random_, duration(0), skew), [this, number, up, publication] {
            on_node(number, [this, number, up, publication] { set_view(number, up, publication); });
        });
    }
}

void quota_simulation::set_limit(quota_limit limit, duration skew)
{
    limit_ = limit;
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
        at(now_ + uniform_between(random_, duration(0), skew), [this, number, limit] {
            on_node(number, [this, number, limit] { nodes_[number]->limit_ = limit; });
        });
    }
}

auto quota_simulation::holder(std::size_t rank) const -> std::size_t
{
    std::vector<std::string> addresses;
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
        addresses.push_back(address_of(number));
    }
    const auto chosen = choose_holders(organisation_name, addresses, rank + 1).at(rank);
    return static_cast<std::size_t>(std::ranges::find(addresses, chosen) - addresses.begin());
}

void quota_simulation::send(std::size_t from, const std::string& to, const quota_ask& ask,
                            std::chrono::milliseconds timeout, grant_hook answer)
{
    const auto receiver = numbers_.at(to);
    const auto is_answered = std::make_shared<bool>(false);
    const auto* sender = nodes_[from].get();
    const auto reply = [this, from, sender, is_answered,
                        answer = std::move(answer)](const std::optional<quota_grant>& grant) {
        on_node(from, [this, from, sender, is_answered, answer, grant] {
            const bool has_restarted = nodes_[from].get() != sender;
            if (!has_restarted && !std::exchange(*is_answered, true)) {
                answer(grant, now_);
            }
        });
    };
    at(now_ + timeout, [reply] { reply(std::nullopt); });
    ++outcome_.messages_;
    outcome_.message_bytes_ += encode(ask).size();
    at(now_ + network_delay, [this, from, receiver, ask, reply] {
        if (!is_connected(from, receiver)) {
            return;
        }
        if (nodes_[receiver]->is_killed_ && !silent_.contains(receiver)) {
            at(now_ + network_delay, [reply] { reply(std::nullopt); });
            return;
        }
        on_node(receiver, [this, from, receiver, ask, reply] {
            auto& self = *nodes_[receiver];
            self.service_->answer(
                ask, *self.view_, now_,
                [this, from, receiver, reply](const std::optional<quota_grant>& grant, instant) {
                    ++outcome_.messages_;
                    outcome_.message_bytes_ += grant ? encode(*grant).size() : 0;
                    at(now_ + network_delay, [this, from, receiver, reply, grant] {
                        if (is_connected(from, receiver)) {
                            reply(grant);
                        }
                    });
                });
        });
    });
}

void quota_simulation::on_node(std::size_t node, std::function<void()> action)
{
    auto& self = *nodes_[node];
    if (self.is_killed_) {
        return;
    }
    if (frozen_.contains(node)) {
        self.delayed_.push_back(std::move(action));
        return;
    }
    action();
}

auto quota_simulation::is_connected(std::size_t one, std::size_t other) const -> bool
{
    const auto group_of = [this](std::size_t node) -> std::uint64_t {
        const auto found = cut_.find(node);
        return found == cut_.end() ? 0 : found->second.group_;
    };
    return one == other || group_of(one) == group_of(other);
}

void quota_simulation::request(std::size_t node)
{
    on_node(node, [this, node] {
        auto& self = *nodes_[node];
        ++waiting_;
        (void)self.client_->admit(
            organisation_name, self.limit_, self.view_, now_, [this](const quota_reply& reply) {
                --waiting_;
                const bool is_granted = reply.verdict_ == quota_verdict::granted;
                (is_granted ? outcome_.runs_ : outcome_.refusals_).push_back(now_);
                outcome_.unavailable_ += reply.verdict_ == quota_verdict::unavailable ? 1 : 0;
            });
    });
}

auto quota_simulation::random_node(const std::vector<std::size_t>& entries) -> std::size_t
{
    if (!entries.empty()) {
        return entries[uniform_below(random_, entries.size())];
    }
    auto node = uniform_below(random_, nodes_.size());
    while (nodes_[node]->is_killed_) {
        node = uniform_below(random_, nodes_.size());
    }
    return node;
}

} // namespace sycamorewinch
