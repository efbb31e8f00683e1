#include "soak/soak_plan.h"

#include <algorithm>
#include <array>

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

using std::chrono::milliseconds;

/** Short compared with the duration of a fault, so that several faults overlap. */
constexpr milliseconds mean_fault_interval{400};
constexpr milliseconds shortest_fault{100};
constexpr milliseconds longest_fault{3'000};
/** On average, one in this many faults is repeated as a series on the same link or process. */
constexpr unsigned inverse_series_probability = 5;
constexpr unsigned faults_per_series = 3;
constexpr milliseconds series_gap{300};
/** Between the starts of two restarts of nodes. A restart may begin before the previous one ends.
 */
constexpr milliseconds shortest_restart_interval{200};
constexpr milliseconds longest_restart_interval{1'500};

auto draw_below(const random_hook& random, std::uint64_t count) -> unsigned
{
    return static_cast<unsigned>(uniform_below(random, count));
}

auto draw_between(const random_hook& random, milliseconds shortest, milliseconds longest)
    -> milliseconds
{
    return shortest + milliseconds(draw_below(
                          random, static_cast<std::uint64_t>((longest - shortest).count())));
}

auto draw_process(const random_hook& random, const soak_size& size) -> std::string
{
    const std::array kinds{std::pair("control", size.controls_), std::pair("relay", size.relays_),
                           std::pair("node", size.nodes_), std::pair("target", size.nodes_)};
    const auto& [kind, count] = kinds.at(draw_below(random, kinds.size()));
    return fmt::format("{}-{}", kind, draw_below(random, count));
}

auto draw_action(const random_hook& random) -> soak_action
{
    constexpr std::array weighted_actions{
        soak_action::kill, soak_action::kill, soak_action::pause, soak_action::pause,
        soak_action::link, soak_action::link, soak_action::link,  soak_action::edit,
        soak_action::edit, soak_action::race, soak_action::wipe,  soak_action::terminate};
    return weighted_actions.at(draw_below(random, weighted_actions.size()));
}

auto draw_fault(const random_hook& random, const soak_size& size) -> soak_fault
{
    soak_fault fault;
    fault.action_ = draw_action(random);
    fault.start_ =
        milliseconds(draw_below(random, static_cast<std::uint64_t>(size.length_.count())));
    fault.duration_ = draw_between(random, shortest_fault, longest_fault);
    if (fault.action_ == soak_action::link) {
        fault.link_fault_ = static_cast<link_fault>(1 + draw_below(random, 6));
        fault.link_ = draw_below(random, size.links_);
    }
    else if (fault.action_ == soak_action::wipe) {
        fault.process_ = fmt::format("control-{}", draw_below(random, size.controls_));
    }
    else if (fault.action_ == soak_action::terminate) {
        fault.process_ = fmt::format("node-{}", draw_below(random, size.nodes_));
    }
    else if (fault.action_ != soak_action::edit && fault.action_ != soak_action::race) {
        fault.process_ = draw_process(random, size);
    }
    return fault;
}

/** Restarts the nodes one after another, starting with any of them. */
void add_node_restarts(const random_hook& random, const soak_size& size,
                       std::vector<soak_fault>& faults)
{
    const auto first_node = draw_below(random, size.nodes_);
    auto start = draw_between(random, milliseconds(0), size.length_ / 2);
    for (unsigned number = 0; number < size.nodes_ && start < size.length_; ++number) {
        soak_fault fault;
        fault.action_ = soak_action::terminate;
        fault.process_ = fmt::format("node-{}", (first_node + number) % size.nodes_);
        fault.start_ = start;
        fault.duration_ = draw_between(random, shortest_fault, longest_restart_interval);
        faults.push_back(fault);
        start += draw_between(random, shortest_restart_interval, longest_restart_interval);
    }
}

/** Replaces every wipe but the first by a kill: losing a second disk of three would lose accepted
 * edits. */
void limit_to_one_wipe(std::vector<soak_fault>& faults)
{
    bool has_wipe = false;
    for (auto& fault : faults) {
        if (fault.action_ == soak_action::wipe && std::exchange(has_wipe, true)) {
            fault.action_ = soak_action::kill;
        }
    }
}

} // namespace

auto to_text(const soak_fault& fault) -> std::string
{
    const auto description =
        fault.action_ == soak_action::link
            ? fmt::format("link {} {}", fault.link_, link_fault_names.name(fault.link_fault_))
            : fmt::format("{} {}", soak_action_names.name(fault.action_), fault.process_);
    return fmt::format("{} ms for {} ms: {}", fault.start_.count(), fault.duration_.count(),
                       description);
}

auto make_soak_plan(std::uint64_t seed, const soak_size& size) -> std::vector<soak_fault>
{
    const auto random = seeded_random(seed);
    std::vector<soak_fault> faults;
    const auto count = size.length_ / mean_fault_interval;
    for (std::int64_t number = 0; number < count; ++number) {
        auto fault = draw_fault(random, size);
        faults.push_back(fault);
        const bool is_series = draw_below(random, inverse_series_probability) == 0;
        for (unsigned repeat = 1; is_series && repeat < faults_per_series; ++repeat) {
            fault.start_ += fault.duration_ + series_gap;
            faults.push_back(fault);
        }
    }
    add_node_restarts(random, size, faults);
    std::erase_if(faults, [&size](const auto& fault) { return fault.start_ >= size.length_; });
    std::ranges::stable_sort(faults, {}, &soak_fault::start_);
    limit_to_one_wipe(faults);
    return faults;
}

} // namespace sycamorewinch
