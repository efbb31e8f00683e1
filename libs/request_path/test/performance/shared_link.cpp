// Simulates, in virtual time, the link of a node beside a target that serves downloads and short
// calls. The downloads use three quarters of the link. Compares how long short responses wait for
// the link with windows that hold a whole download and no limit on the downloads in transit.

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "request_path/peer_exchange.h"

using namespace sycamorewinch;

namespace {

using std::chrono::milliseconds;

constexpr double link_bytes_per_second = 1'875'000; ///< 15 Mbit/s.
constexpr double link_load = 0.75;                  ///< Share of the link that downloads use.
constexpr std::size_t download_bytes = 90'000;
constexpr std::size_t short_response_bytes = 1'000;
constexpr double short_responses_per_second = 60;
constexpr duration one_way_delay = std::chrono::microseconds(5'400);
constexpr std::size_t slots = 7;
constexpr duration target_latency = milliseconds(150);
constexpr duration service_time = milliseconds(29);
constexpr auto run_end = instant(std::chrono::seconds(120));

/** How much of the downloads may be in transit. */
struct transfer_limits {
    std::size_t window_bytes_;
    std::size_t downloads_;
};

/** The link, its queue and the downloads that are sent over it. */
class simulation {
  public:
    explicit simulation(transfer_limits limits) : limits_(limits), random_(seeded_random(3)) {}

    /** Returns the part of the short responses that arrive within their target latency. */
    auto run() -> double
    {
        arrive(link_bytes_per_second * link_load / download_bytes, [this] { start_download(); });
        arrive(short_responses_per_second, [this] { send_short_response(); });
        while (!events_.empty()) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        return static_cast<double>(in_time_) / static_cast<double>(std::max(1U, short_responses_));
    }

  private:
    void arrive(double per_second, const std::function<void()>& action)
    {
        for (auto when = instant(); when < run_end;) {
            const auto gap = -std::log(1 - uniform_unit(random_)) / per_second;
            when += duration(static_cast<std::int64_t>(gap * 1e6) + 1);
            events_.emplace(when, action);
        }
    }

    /** Queues \p bytes on the link and calls \p on_arrival when they have arrived. */
    void send(std::size_t bytes, const std::function<void()>& on_arrival)
    {
        const auto seconds = static_cast<double>(bytes) / link_bytes_per_second;
        link_free_at_ =
            std::max(link_free_at_, now_) + duration(static_cast<std::int64_t>(seconds * 1e6));
        events_.emplace(link_free_at_ + one_way_delay, on_arrival);
    }

    void send_short_response()
    {
        ++short_responses_;
        send(short_response_bytes, [this, sent = now_] {
            in_time_ += service_time + (now_ - sent) <= target_latency ? 1 : 0;
        });
    }

    void start_download()
    {
        if (downloads_in_transit_ == limits_.downloads_) {
            ++waiting_downloads_;
            return;
        }
        ++downloads_in_transit_;
        send_window(download_bytes);
    }

    /** Sends the next window of a download; the receiver's update reopens it. */
    void send_window(std::size_t bytes_left)
    {
        const auto bytes = std::min(bytes_left, limits_.window_bytes_);
        send(bytes, [this, rest = bytes_left - bytes] {
            events_.emplace(now_ + one_way_delay,
                            [this, rest] { rest > 0 ? send_window(rest) : end_download(); });
        });
    }

    void end_download()
    {
        --downloads_in_transit_;
        if (waiting_downloads_ > 0) {
            --waiting_downloads_;
            start_download();
        }
    }

    transfer_limits limits_;
    random_hook random_;
    instant now_{};
    instant link_free_at_{};
    std::multimap<instant, std::function<void()>> events_;
    std::size_t downloads_in_transit_ = 0;
    std::size_t waiting_downloads_ = 0;
    unsigned short_responses_ = 0;
    unsigned in_time_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(short_responses_do_not_wait_for_the_downloads_on_the_link)
{
    constexpr std::size_t whole_downloads = 256U * 1024;
    constexpr std::size_t no_limit = SIZE_MAX;
    const auto limited = simulation({call_window_bytes, slots}).run();
    const auto unlimited = simulation({whole_downloads, no_limit}).run();
    BOOST_TEST_MESSAGE("in time " << limited << ", with whole downloads in transit " << unlimited);
    constexpr double target_rate = 0.99; // the users' share served in time on calm days
    BOOST_TEST(limited >= target_rate);
    BOOST_TEST(unlimited < target_rate);
}
