#include "bench_kit/convergence_run.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include <fmt/core.h>

#include "distribution/publisher.h"
#include "distribution/subscriber.h"

namespace sycamorewinch {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(250);
constexpr duration report_period = std::chrono::milliseconds(50);
constexpr duration poll_period = std::chrono::seconds(1);
constexpr duration retransmission_delay = std::chrono::milliseconds(200);
constexpr duration settling_time = std::chrono::seconds(20);
constexpr duration idle_time = std::chrono::seconds(60);
/** Bytes added to each message: length prefix of the channel (4), HTTP/2 frame header (9), TCP
 * header (32), IP header (20). */
constexpr std::size_t overhead_bytes = 4 + 9 + 32 + 20;
constexpr double link_bits_per_second = 1e9;

using action = std::function<void()>;

/** Runs actions in virtual time; actions of the same time run in the order of scheduling. */
class event_queue {
  public:
    void schedule(instant when, action act) { events_.push({when, next_order_++, std::move(act)}); }

    void run_until(instant end)
    {
        while (!events_.empty() && events_.top().when_ <= end) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.when_;
            event.act_();
        }
        now_ = end;
    }

    [[nodiscard]] auto now() const -> instant { return now_; }

  private:
    struct event {
        instant when_;
        std::uint64_t order_;
        action act_;

        auto operator<(const event& other) const -> bool
        {
            return std::tie(when_, order_) > std::tie(other.when_, other.order_);
        }
    };
    std::priority_queue<event> events_;
    std::uint64_t next_order_ = 0;
    instant now_{};
};

/** One direction of a connection: delivers in order, with a delay, a data rate and losses. */
struct link {
    instant last_arrival_{};
    instant free_at_{}; ///< When the last byte queued so far has been sent.
};

/** A simulated node or relay. */
struct simulated_process {
    std::optional<subscriber> subscriber_;
    std::unique_ptr<publisher> publisher_; ///< Relays only.
    std::size_t zone_ = 0;
    std::uint64_t enforced_version_ = 0;
    bool report_due_ = false; ///< A progress report is scheduled.
    link up_;
    link down_;
    std::size_t bytes_ = 0; ///< Sent and received.
    std::size_t upward_bytes_ = 0;
    subscriber_id id_ = 0;
};

/** State of one simulation. */
class convergence_run {
  public:
    explicit convergence_run(const convergence_options& options)
        : options_(options), random_(seeded_random(options.seed_))
    {
        std::vector<row> rows;
        for (std::size_t index = 0; index < options_.services_; ++index) {
            row new_row{.service_ = fmt::format("service-{:04}", index),
                        .path_prefix_ = fmt::format("/service-{:04}", index)};
            new_row.weights_ = {{weight_scope::availability_zone, "zone-0", 1},
                                {weight_scope::availability_zone, "zone-1", 1},
                                {weight_scope::availability_zone, "zone-2", 2}};
            new_row.timeout_ = std::chrono::milliseconds(2000);
            rows.push_back(std::move(new_row));
        }
        newest_ = std::make_shared<const table>(make_table(1, std::move(rows)));
        controls_.resize(options_.zones_);
        relays_.resize(options_.zones_);
        nodes_.resize(options_.zones_ * options_.nodes_per_zone_);
    }

    auto run() -> convergence_figures
    {
        start();
        events_.run_until(events_.now() + settling_time);
        convergence_figures figures;
        if (options_.restart_before_changes_) {
            measure_restart(figures);
        }
        const auto node_bytes_before_idle = bytes_of_nodes();
        const auto relay_bytes_before_idle = upward_bytes_of_relays();
        events_.run_until(events_.now() + idle_time);
        const auto nodes = static_cast<double>(nodes_.size());
        const auto idle_bytes_per_second =
            (bytes_of_nodes() - node_bytes_before_idle) / nodes / to_seconds(idle_time);
        const auto idle_upward_bytes_per_second =
            (upward_bytes_of_relays() - relay_bytes_before_idle) /
            static_cast<double>(relays_.size()) / to_seconds(idle_time);
        figures.idle_bytes_per_second_ = idle_bytes_per_second;
        measure_changes(figures, idle_bytes_per_second, idle_upward_bytes_per_second);
        return figures;
    }

  private:
    void start()
    {
        for (auto& control : controls_) {
            control = std::make_unique<publisher>();
            control->set_table(newest_);
        }
        for (std::size_t zone = 0; zone < relays_.size(); ++zone) {
            auto& relay = relays_[zone];
            relay.publisher_ = std::make_unique<publisher>();
            start_process(relay, zone, true, zone);
            tick_relay(zone);
        }
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            start_process(nodes_[index], index / options_.nodes_per_zone_, false, index);
            tick_node(index, random_phase(tick_period));
        }
    }

    void start_process(simulated_process& process, std::size_t zone, bool is_relay,
                       std::size_t index)
    {
        process.zone_ = zone;
        node_by_id_.erase(process.id_);
        process.id_ = next_id_++;
        if (!is_relay) {
            node_by_id_[process.id_] = index;
        }
        subscriber_options options{fmt::format("{}-{:05}", is_relay ? "relay" : "node", index),
                                   fmt::format("zone-{}", zone), is_relay, random_};
        options.proof_period_ = std::chrono::seconds(is_relay ? 1 : 2);
        process.subscriber_.emplace(std::move(options));
        process.subscriber_->on_connected(events_.now());
        process.subscriber_->report_summary({});
        dispatch_subscriber_output(process);
    }

    auto random_phase(duration period) -> duration
    {
        return uniform_between(random_, duration(0), period);
    }

    void tick_relay(std::size_t zone)
    {
        relays_[zone].subscriber_->tick(events_.now());
        dispatch_subscriber_output(relays_[zone]);
        events_.schedule(events_.now() + tick_period, [this, zone] { tick_relay(zone); });
    }

    void tick_node(std::size_t index, duration phase)
    {
        events_.schedule(events_.now() + phase, [this, index] {
            auto& node = nodes_[index];
            if (options_.distribution_mode_ == distribution_mode::polling) {
                poll(index);
                tick_node(index, poll_period);
                return;
            }
            node.subscriber_->tick(events_.now());
            dispatch_subscriber_output(node);
            tick_node(index, tick_period);
        });
    }

    // Sends a request. The relay answers with its whole table if the node has another version.
    void poll(std::size_t index)
    {
        auto& node = nodes_[index];
        send(node, true, encode_message(subscribe{"", "", false, newest_->version_}),
             [this, &node] {
                 const auto& held = relays_[node.zone_].subscriber_->enforced();
                 if (!held || held->version_.number_ == node.enforced_version_) {
                     send(node, false, encode_message(currency_proof{1, 1}), [] {});
                     return;
                 }
                 const table_update update{{}, held->version_, {held->rows_, {}}};
                 const auto number = held->version_.number_;
                 send(node, false, encode_message(update),
                      [this, &node, number] { enforce(node, number); });
             });
    }

    void send(simulated_process& process, bool is_up, std::string_view bytes, action arrive)
    {
        const auto size = bytes.size() + overhead_bytes;
        process.bytes_ += size;
        process.upward_bytes_ += is_up ? size : 0;
        auto& link = is_up ? process.up_ : process.down_;
        const duration sending(
            static_cast<std::int64_t>(static_cast<double>(size) * 8 / link_bits_per_second * 1e6));
        auto arrival = events_.now() + sending + options_.within_zone_;
        if (!is_up && !process.publisher_) {
            // The relay's network link is shared by all its nodes.
            auto& free_at = relays_[process.zone_].down_.free_at_;
            free_at = std::max(free_at, events_.now()) + sending;
            arrival = free_at + options_.within_zone_;
        }
        if (uniform_unit(random_) < options_.loss_rate_) {
            arrival += retransmission_delay;
        }
        arrival = std::max(arrival, link.last_arrival_);
        link.last_arrival_ = arrival;
        in_flight_below_relay_[process.zone_] += process.publisher_ ? 0 : size;
        peak_in_flight_below_relay_ =
            std::max(peak_in_flight_below_relay_, in_flight_below_relay_[process.zone_]);
        events_.schedule(arrival, [this, &process, size, arrive = std::move(arrive)] {
            in_flight_below_relay_[process.zone_] -= process.publisher_ ? 0 : size;
            arrive();
        });
    }

    void send_up(simulated_process& process, const distribution_message& message)
    {
        const auto id = process.id_;
        send(process, true, encode_message(message), [this, &process, id, message] {
            if (id != process.id_) {
                return; // sent before the process restarted
            }
            auto& parent =
                process.publisher_ ? *controls_[process.zone_] : *relays_[process.zone_].publisher_;
            parent.on_message(id, message);
            if (process.publisher_) {
                const auto* report = std::get_if<progress_report>(&message);
                const auto is_individual =
                    options_.acknowledgement_mode_ == acknowledgement_mode::individual;
                if (is_individual && report != nullptr && !is_acknowledgement(*report)) {
                    return;
                }
                dispatch_control_output(process.zone_);
            }
            else {
                dispatch_relay_output(process.zone_);
            }
        });
    }

    /** Returns whether \p report forwards one node's acknowledgement of the newest version. */
    [[nodiscard]] auto is_acknowledgement(const progress_report& report) const -> bool
    {
        return report.zones_.size() == 1 && report.zones_.front().at_lowest_names_.size() == 1 &&
               report.zones_.front().nodes_ == 1 &&
               report.zones_.front().lowest_version_ == newest_->version_.number_;
    }

    void dispatch_subscriber_output(simulated_process& process)
    {
        const auto output = process.subscriber_->take_output();
        for (const auto& message : output.messages_) {
            send_up(process, message);
        }
        if (process.publisher_) {
            if (output.held_ && options_.distribution_mode_ != distribution_mode::polling) {
                process.publisher_->set_table(output.held_);
            }
            if (output.proof_) {
                process.publisher_->on_proof(output.proof_->version_,
                                             output.proof_->rollout_sequence_);
            }
            if (output.held_) {
                process.subscriber_->report_progress(process.publisher_->progress());
                dispatch_subscriber_output(process);
            }
            dispatch_relay_output(process.zone_);
            return;
        }
        if (output.enforce_) {
            enforce(process, output.enforce_->version_.number_);
        }
        if (output.held_ || output.enforce_) {
            process.subscriber_->report_progress({{fmt::format("zone-{}", process.zone_),
                                                   1,
                                                   process.enforced_version_,
                                                   1,
                                                   {fmt::format("node-{:05}", process.id_)}}});
            dispatch_subscriber_output(process);
        }
    }

    void enforce(simulated_process& process, std::uint64_t number)
    {
        process.enforced_version_ = number;
        if (number >= 2 && number == newest_->version_.number_) {
            delays_.push_back(events_.now() - accepted_at_);
        }
    }

    void dispatch_relay_output(std::size_t zone)
    {
        auto& relay = relays_[zone];
        const auto output = relay.publisher_->take_output();
        for (const auto& message : output.messages_) {
            const auto found = node_by_id_.find(message.to_);
            if (found != node_by_id_.end()) {
                send_down(nodes_[found->second], *message.bytes_);
            }
        }
        if (output.proof_wanted_) {
            relay.subscriber_->request_proof();
            dispatch_subscriber_output(relay);
        }
        if (output.progress_changed_) {
            schedule_progress_report(zone);
        }
    }

    void schedule_progress_report(std::size_t zone)
    {
        auto& relay = relays_[zone];
        if (options_.acknowledgement_mode_ == acknowledgement_mode::individual) {
            relay.subscriber_->report_progress(
                {{fmt::format("zone-{}", zone), 1, newest_->version_.number_, 1, {"node-00000"}}});
            dispatch_subscriber_output(relay);
            return;
        }
        if (std::exchange(relay.report_due_, true)) {
            return;
        }
        events_.schedule(events_.now() + report_period, [this, zone] {
            auto& relay = relays_[zone];
            relay.report_due_ = false;
            relay.subscriber_->report_progress(relay.publisher_->progress());
            dispatch_subscriber_output(relay);
        });
    }

    void send_down(simulated_process& process, std::string bytes)
    {
        const auto id = process.id_;
        const auto message = decode_distribution_message(bytes);
        if (options_.distribution_mode_ == distribution_mode::whole_table &&
            std::holds_alternative<table_update>(*message)) {
            bytes = encode_message(table_update{{}, newest_->version_, {newest_->rows_, {}}});
        }
        send(process, false, bytes, [&process, id, message, this] {
            if (id == process.id_ && process.subscriber_->on_message(*message)) {
                dispatch_subscriber_output(process);
            }
        });
    }

    void dispatch_control_output(std::size_t zone)
    {
        const auto output = controls_[zone]->take_output();
        for (const auto& message : output.messages_) {
            send_down(relays_[zone], *message.bytes_);
        }
        if (output.proof_wanted_) {
            // Two round trips between zones: to the leader, and from the leader to its quorum.
            const auto proof_delay = 4 * options_.between_zones_;
            events_.schedule(events_.now() + proof_delay, [this, zone] {
                controls_[zone]->on_proof(newest_->version_.number_, 0);
                dispatch_control_output(zone);
            });
        }
        if (output.progress_changed_) {
            events_.schedule(events_.now() + options_.between_zones_, [this] { check_progress(); });
        }
    }

    // Evaluates the progress reports of all control processes, as the leader does. A version is
    // known to be in force once every node has reported it.
    void check_progress()
    {
        const auto number = newest_->version_.number_;
        if (known_version_ == number) {
            return;
        }
        if (options_.acknowledgement_mode_ == acknowledgement_mode::individual) {
            if (++acknowledgements_ == nodes_.size()) {
                record_known();
            }
            return;
        }
        std::uint64_t nodes = 0;
        for (const auto& control : controls_) {
            for (const auto& zone : control->progress()) {
                nodes += zone.lowest_version_ >= number ? zone.nodes_ : 0;
            }
        }
        if (nodes == nodes_.size()) {
            record_known();
        }
    }

    void record_known()
    {
        known_version_ = newest_->version_.number_;
        known_delays_.push_back(events_.now() - accepted_at_);
    }

    void measure_restart(convergence_figures& figures)
    {
        peak_in_flight_below_relay_ = 0;
        const auto begin = events_.now();
        for (std::size_t index = 0; index < options_.nodes_per_zone_; ++index) {
            relays_[0].publisher_->on_subscriber_disconnected(nodes_[index].id_);
            nodes_[index].enforced_version_ = 0;
            start_process(nodes_[index], 0, false, index);
        }
        const auto has_recovered = [this] {
            return std::all_of(nodes_.begin(),
                               nodes_.begin() + static_cast<long>(options_.nodes_per_zone_),
                               [](const auto& process) { return process.enforced_version_ > 0; });
        };
        while (!has_recovered() && events_.now() < begin + idle_time) {
            events_.run_until(events_.now() + std::chrono::milliseconds(1));
        }
        figures.restart_time_ = events_.now() - begin;
        figures.restart_peak_bytes_ = peak_in_flight_below_relay_;
        events_.run_until(events_.now() + settling_time);
    }

    void accept_change()
    {
        auto rows = newest_->rows_;
        rows[uniform_below(random_, rows.size())].weights_.front().weight_ =
            static_cast<std::uint32_t>(newest_->version_.number_ % 100);
        newest_ = std::make_shared<const table>(
            make_table(newest_->version_.number_ + 1, std::move(rows)));
        accepted_at_ = events_.now();
        acknowledgements_ = 0;
        for (std::size_t zone = 0; zone < controls_.size(); ++zone) {
            const auto delay = zone == 0 ? duration(0) : options_.between_zones_;
            events_.schedule(events_.now() + delay, [this, zone, accepted = newest_] {
                controls_[zone]->set_table(accepted);
                dispatch_control_output(zone);
            });
        }
    }

    void measure_changes(convergence_figures& figures, double idle_bytes_per_second,
                         double idle_upward_bytes_per_second)
    {
        delays_.clear();
        known_delays_.clear();
        const auto begin = events_.now();
        const auto node_bytes_before = bytes_of_nodes();
        const auto relay_bytes_before = upward_bytes_of_relays();
        for (std::size_t done = 0; done < options_.changes_; ++done) {
            accept_change();
            events_.run_until(events_.now() + options_.change_period_ / 2 +
                              random_phase(options_.change_period_));
        }
        const auto seconds = to_seconds(events_.now() - begin);
        const auto changes = static_cast<double>(options_.changes_);
        const auto bytes_per_node =
            (bytes_of_nodes() - node_bytes_before) / static_cast<double>(nodes_.size());
        const auto upward_bytes_per_relay =
            (upward_bytes_of_relays() - relay_bytes_before) / static_cast<double>(relays_.size());
        figures.bytes_per_second_ = bytes_per_node / seconds;
        figures.bytes_per_change_ = (bytes_per_node - idle_bytes_per_second * seconds) / changes;
        figures.upward_bytes_per_change_ =
            (upward_bytes_per_relay - idle_upward_bytes_per_second * seconds) / changes;
        figures.p50_ = quantile(delays_, 0.5);
        figures.p99_ = quantile(delays_, 0.99);
        figures.max_ = quantile(delays_, 1);
        figures.known_p50_ = quantile(known_delays_, 0.5);
        figures.known_max_ = quantile(known_delays_, 1);
    }

    [[nodiscard]] static auto quantile(std::vector<duration>& values, double fraction) -> duration
    {
        if (values.empty()) {
            return duration(0);
        }
        std::ranges::sort(values);
        const auto last = static_cast<double>(values.size() - 1);
        return values[static_cast<std::size_t>(last * fraction)];
    }

    [[nodiscard]] auto bytes_of_nodes() const -> double
    {
        double sum = 0;
        for (const auto& node : nodes_) {
            sum += static_cast<double>(node.bytes_);
        }
        return sum;
    }

    [[nodiscard]] auto upward_bytes_of_relays() const -> double
    {
        double sum = 0;
        for (const auto& relay : relays_) {
            sum += static_cast<double>(relay.upward_bytes_);
        }
        return sum;
    }

    convergence_options options_;
    random_hook random_;
    event_queue events_;
    table_pointer newest_;
    std::vector<std::unique_ptr<publisher>> controls_; ///< One per zone; the first is the leader.
    std::vector<simulated_process> relays_;            ///< One per zone.
    std::vector<simulated_process> nodes_;
    std::unordered_map<subscriber_id, std::size_t> node_by_id_;
    std::size_t acknowledgements_ = 0; ///< Of the newest version, in individual mode.
    subscriber_id next_id_ = 1;
    instant accepted_at_{};
    std::uint64_t known_version_ = 0;
    std::vector<duration> delays_;
    std::vector<duration> known_delays_;
    std::map<std::size_t, std::size_t> in_flight_below_relay_; ///< Bytes in flight, by zone.
    std::size_t peak_in_flight_below_relay_ = 0;
};

} // namespace

auto measure_convergence(const convergence_options& options) -> convergence_figures
{
    return convergence_run(options).run();
}

} // namespace sycamorewinch
