// Simulates, in virtual time, one target that serves two rows: short lookups that other targets
// wait for, and long bookings with a larger target latency. The offered load exceeds the slots by a
// tenth and arrives in pairs. Compares the queue with one that starts equal priorities by arrival.

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

#include "base/random.h"
#include "request_path/wait_queue.h"

using namespace sycamorewinch;

namespace {

using std::chrono::milliseconds;

struct simulated_row {
    std::string name_;
    duration service_time_;
    duration target_latency_;
    double share_; ///< Of the requests.
};

const std::vector<simulated_row> rows{{"lookup", milliseconds(15), milliseconds(100), 0.75},
                                      {"booking", milliseconds(78), milliseconds(300), 0.25}};
constexpr std::uint32_t slots = 7;
constexpr double offered_load = 1.1; ///< In multiples of the slots.
constexpr std::size_t clump = 2;     ///< Requests that arrive together.
constexpr auto run_end = instant(std::chrono::seconds(120));

enum class queue_order { by_latest_start, by_arrival };

struct row_result {
    unsigned offered_ = 0;
    unsigned in_time_ = 0;

    [[nodiscard]] auto in_time_rate() const -> double
    {
        return static_cast<double>(in_time_) / std::max(1U, offered_);
    }
};

/** One run of a target with its queue. */
class simulation {
  public:
    explicit simulation(queue_order order) : order_(order), random_(seeded_random(7)) {}

    auto run() -> std::map<std::string, row_result>
    {
        for (const auto& row : rows) {
            queue_.record_service_time(row.name_, row.service_time_);
        }
        schedule_arrivals();
        while (!events_.empty()) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        return results_;
    }

  private:
    auto exponential(duration mean) -> duration
    {
        const auto factor = -std::log(1 - uniform_unit(random_));
        return duration(static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor) + 1);
    }

    void schedule_arrivals()
    {
        duration mean_service_time{0};
        for (const auto& row : rows) {
            mean_service_time += duration(static_cast<std::int64_t>(
                static_cast<double>(row.service_time_.count()) * row.share_));
        }
        const auto gap = duration(static_cast<std::int64_t>(
            static_cast<double>(mean_service_time.count()) * clump / (slots * offered_load)));
        for (auto when = instant(); when < run_end; when += exponential(gap)) {
            for (std::size_t index = 0; index < clump; ++index) {
                const auto& row = uniform_unit(random_) < rows[0].share_ ? rows[0] : rows[1];
                events_.emplace(when, [this, &row] { arrive(row); });
            }
        }
    }

    auto rank_of(const simulated_row& row) -> queue_rank
    {
        const auto rank =
            make_queue_rank(1, row.target_latency_, queue_.service_time(row.name_), now_);
        return order_ == queue_order::by_latest_start
                   ? rank
                   : queue_rank{rank.priority_, 0, rank.is_late_};
    }

    void arrive(const simulated_row& row)
    {
        ++results_[row.name_].offered_;
        const auto arrived = now_;
        if (running_ < slots) {
            serve(row, arrived);
            return;
        }
        const auto service_time = queue_.service_time(row.name_);
        const auto limit = max_wait(row.target_latency_, service_time, false);
        const auto rank = rank_of(row);
        if (queue_.expected_wait(rank, slots) >= limit) {
            return; // refused at once
        }
        const auto position = queue_.enqueue(rank, service_time, [this, &row, arrived] {
            if (running_ >= slots) {
                return false;
            }
            serve(row, arrived);
            return true;
        });
        events_.emplace(now_ + limit, [this, position] { queue_.remove(position); });
    }

    void serve(const simulated_row& row, instant arrived)
    {
        ++running_;
        events_.emplace(now_ + exponential(row.service_time_), [this, &row, arrived] {
            --running_;
            results_[row.name_].in_time_ += now_ - arrived <= row.target_latency_ ? 1 : 0;
            queue_.start_waiting();
        });
    }

    queue_order order_;
    random_hook random_;
    instant now_{};
    wait_queue queue_;
    std::uint32_t running_ = 0;
    std::multimap<instant, std::function<void()>> events_;
    std::map<std::string, row_result> results_;
};

/** The users' target for what is served, here as a part of what could be served. */
constexpr double target_rate = 0.9;

auto in_time_rate(std::map<std::string, row_result>& results) -> double
{
    double rate = 0;
    for (const auto& row : rows) {
        rate += row.share_ * results[row.name_].in_time_rate();
    }
    return rate;
}

/** Returns the part of the requests that the slots can serve at most: all lookups, and bookings in
 * the time that is left. */
auto best_possible_rate() -> double
{
    std::map<std::string, double> work;
    double total = 0;
    for (const auto& row : rows) {
        work[row.name_] = static_cast<double>(row.service_time_.count()) * row.share_;
        total += work[row.name_];
    }
    const auto left_for_bookings = total / offered_load - work["lookup"];
    return rows[0].share_ + rows[1].share_ * std::min(1.0, left_for_bookings / work["booking"]);
}

} // namespace

BOOST_AUTO_TEST_CASE(short_lookups_do_not_wait_behind_bookings_that_have_time)
{
    auto ordered = simulation(queue_order::by_latest_start).run();
    auto by_arrival = simulation(queue_order::by_arrival).run();
    for (const auto& row : rows) {
        BOOST_TEST_MESSAGE(row.name_ << ": in time " << ordered[row.name_].in_time_rate()
                                     << ", by arrival " << by_arrival[row.name_].in_time_rate());
    }
    // A lookup that is refused wastes the work of the request that waits for it.
    BOOST_TEST(ordered["lookup"].in_time_rate() >= target_rate);
    BOOST_TEST(1 - ordered["lookup"].in_time_rate() <
               (1 - by_arrival["lookup"].in_time_rate()) / 2);
    BOOST_TEST(in_time_rate(ordered) >= target_rate * best_possible_rate());
    BOOST_TEST(in_time_rate(ordered) > in_time_rate(by_arrival));
}
