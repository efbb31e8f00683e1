// Simulates, in virtual time, two services in a row: the requests of the front service (lookups)
// work and then wait for two short calls to the back service, which also serves long requests of
// its own (bookings). The back service is offered more than its slots can serve. A lookup that has
// worked is lost with the first of its calls that is refused.

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>

#include "base/random.h"
#include "policy/slot_reservation.h"
#include "request_path/wait_queue.h"

using namespace sycamorewinch;

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t front_slots = 12;
constexpr std::uint32_t back_slots = 6;
constexpr std::uint32_t priority = 1;
constexpr duration lookup_work = milliseconds(60); ///< Before its calls.
constexpr duration call_work = milliseconds(15);
constexpr duration call_target_latency = milliseconds(100);
constexpr duration booking_work = milliseconds(110);
constexpr duration booking_target_latency = milliseconds(300);
constexpr unsigned calls_per_lookup = 2;
constexpr double lookups_per_second = 110;
constexpr double lookup_share_of_back_slots = lookups_per_second * calls_per_lookup * 0.015;
constexpr auto run_end = instant(std::chrono::seconds(120));

enum class slot_policy { reserved, shared };

struct result_counts {
    unsigned lookups_ = 0; ///< Offered.
    unsigned lookups_refused_ = 0;
    unsigned lookups_lost_ = 0; ///< After they have worked.
    unsigned lookups_served_ = 0;
    unsigned bookings_ = 0; ///< Offered.
    unsigned bookings_served_ = 0;
};

/** One run of both services. */
class simulation {
  public:
    /** The back service is offered \p offered_load times what its slots can serve. */
    simulation(slot_policy policy, double offered_load)
        : policy_(policy),
          bookings_per_second_((offered_load * back_slots - lookup_share_of_back_slots) / 0.110),
          random_(seeded_random(11)), reservation_(std::make_shared<slot_reservation>())
    {
        queue_.record_service_time("call", call_work);
        queue_.record_service_time("booking", booking_work);
    }

    auto run() -> result_counts
    {
        schedule(lookups_per_second, [this] { arrive_lookup(); });
        schedule(bookings_per_second_, [this] {
            ++counts_.bookings_;
            request("booking", booking_work, booking_target_latency,
                    [this](bool is_served) { counts_.bookings_served_ += is_served ? 1 : 0; });
        });
        while (!events_.empty()) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        return counts_;
    }

  private:
    using done_hook = std::function<void(bool is_served)>;

    struct lookup {
        unsigned calls_left_ = calls_per_lookup;
        bool is_lost_ = false;
    };

    auto exponential(duration mean) -> duration
    {
        const auto factor = -std::log(1 - uniform_unit(random_));
        return duration(static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor) + 1);
    }

    void schedule(double per_second, const std::function<void()>& arrive)
    {
        const auto mean_gap = duration(static_cast<std::int64_t>(1'000'000 / per_second));
        for (auto when = instant(); when < run_end; when += exponential(mean_gap)) {
            events_.emplace(when, arrive);
        }
    }

    void arrive_lookup()
    {
        ++counts_.lookups_;
        if (front_running_ >= front_slots) {
            ++counts_.lookups_refused_;
            return;
        }
        ++front_running_;
        events_.emplace(now_ + exponential(lookup_work), [this] {
            const auto state = std::make_shared<lookup>();
            for (unsigned index = 0; index < calls_per_lookup; ++index) {
                request("call", call_work, call_target_latency,
                        [this, state](bool is_served) { on_call_ended(*state, is_served); });
            }
        });
    }

    void on_call_ended(lookup& lookup, bool is_served)
    {
        if (lookup.is_lost_) {
            return;
        }
        lookup.is_lost_ = !is_served;
        if (lookup.is_lost_ || --lookup.calls_left_ == 0) {
            --front_running_;
            ++(lookup.is_lost_ ? counts_.lookups_lost_ : counts_.lookups_served_);
        }
    }

    /** Sends one request to the back service. */
    void request(const std::string& row, duration work, duration target_latency,
                 const done_hook& done)
    {
        const auto service_time = queue_.service_time(row);
        reservation_->on_arrival(row, priority, service_time, now_);
        if (has_slot(row)) {
            serve(row, work, done);
            return;
        }
        const auto limit = max_wait(target_latency, service_time, false);
        const auto rank = make_queue_rank(priority, target_latency, service_time, now_);
        if (queue_.expected_wait(rank, back_slots) >= limit) {
            done(false);
            return;
        }
        const auto has_ended = std::make_shared<bool>(false);
        const auto position =
            queue_.enqueue(rank, service_time, [this, row, work, done, has_ended] {
                if (!has_slot(row)) {
                    return false;
                }
                *has_ended = true;
                serve(row, work, done);
                return true;
            });
        events_.emplace(now_ + limit, [this, position, done, has_ended] {
            if (!std::exchange(*has_ended, true)) {
                queue_.remove(position);
                done(false);
            }
        });
    }

    [[nodiscard]] auto has_slot(const std::string& row) const -> bool
    {
        const bool is_allowed =
            policy_ == slot_policy::shared || reservation_->admits(row, back_slots, now_);
        return back_running_ < back_slots && is_allowed;
    }

    void serve(const std::string& row, duration work, const done_hook& done)
    {
        ++back_running_;
        const auto use = std::make_shared<slot_use>(reservation_, row);
        events_.emplace(now_ + exponential(work), [this, use, done] {
            --back_running_;
            *use = slot_use();
            done(true);
            queue_.start_waiting();
        });
    }

    slot_policy policy_;
    double bookings_per_second_;
    random_hook random_;
    instant now_{};
    wait_queue queue_;
    std::shared_ptr<slot_reservation> reservation_;
    std::uint32_t front_running_ = 0;
    std::uint32_t back_running_ = 0;
    std::multimap<instant, std::function<void()>> events_;
    result_counts counts_;
};

auto lost_share(const result_counts& counts) -> double
{
    const auto started = counts.lookups_lost_ + counts.lookups_served_;
    return static_cast<double>(counts.lookups_lost_) / std::max(1U, started);
}

auto served_share(const result_counts& counts) -> double
{
    return static_cast<double>(counts.lookups_served_ + counts.bookings_served_) /
           std::max(1U, counts.lookups_ + counts.bookings_);
}

/** The users' target is that nine tenths are served; here, of the lookups that have worked. */
constexpr double max_lost_share = 0.1;

} // namespace

// Guards against work that is begun and lost because long requests hold the slots that its calls
// need.
BOOST_AUTO_TEST_CASE(calls_of_running_requests_find_slots_beside_an_overload_of_long_requests)
{
    for (const auto offered_load : {1.0, 1.2, 1.5}) {
        const auto reserved = simulation(slot_policy::reserved, offered_load).run();
        const auto shared = simulation(slot_policy::shared, offered_load).run();
        BOOST_TEST_MESSAGE(offered_load << ": lost " << lost_share(reserved) << ", without "
                                        << lost_share(shared) << "; served "
                                        << served_share(reserved) << ", without "
                                        << served_share(shared) << "; bookings served "
                                        << reserved.bookings_served_ << " of " << reserved.bookings_
                                        << ", without " << shared.bookings_served_);
        BOOST_TEST(lost_share(reserved) <= max_lost_share);
        BOOST_TEST(lost_share(reserved) < lost_share(shared));
        BOOST_TEST(served_share(reserved) > served_share(shared));
    }
}
