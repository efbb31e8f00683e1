#include "soak/soak_plan.h"

#include <algorithm>
#include <array>

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

using std::chrono::milliseconds;

/** One fault for so much time on the average, so that several are on at once. */
constexpr milliseconds time_per_fault{400};
constexpr milliseconds shortest_fault{100};
constexpr milliseconds longest_fault{3'000};
/** Every so many faults a series strikes one place several times. */
constexpr unsigned one_series_in = 5;
constexpr unsigned faults_of_series = 3;
constexpr milliseconds gap_of_series{300};

auto below(const random_hook& random, std::uint64_t count) -> unsigned
{
    return static_cast<unsigned>(uniform_below(random, count));
}

auto draw_process(const random_hook& random, const soak_size& size) -> std::string
{
    const std::array kinds{std::pair("control", size.controls_), std::pair("relay", size.relays_),
                           std::pair("node", size.nodes_), std::pair("target", size.nodes_)};
    const auto& [kind, count] = kinds.at(below(random, kinds.size()));
    return fmt::format("{}-{}", kind, below(random, count));
}

auto draw_action(const random_hook& random) -> soak_action
{
    constexpr std::array weighted{soak_action::kill,  soak_action::kill, soak_action::pause,
                                  soak_action::pause, soak_action::link, soak_action::link,
                                  soak_action::link,  soak_action::edit, soak_action::edit,
                                  soak_action::race,  soak_action::wipe, soak_action::terminate};
    return weighted.at(below(random, weighted.size()));
}

auto draw_fault(const random_hook& random, const soak_size& size) -> soak_fault
{
    soak_fault fault;
    fault.action_ = draw_action(random);
    fault.at_ = milliseconds(below(random, static_cast<std::uint64_t>(size.length_.count())));
    const auto span = static_cast<std::uint64_t>((longest_fault - shortest_fault).count());
    fault.lasts_ = shortest_fault + milliseconds(below(random, span));
    if (fault.action_ == soak_action::link) {
        fault.link_fault_ = static_cast<link_fault>(1 + below(random, 6));
        fault.link_ = below(random, size.links_);
    }
    else if (fault.action_ == soak_action::wipe) {
        fault.process_ = fmt::format("control-{}", below(random, size.controls_));
    }
    else if (fault.action_ == soak_action::terminate) {
        fault.process_ = fmt::format("node-{}", below(random, size.nodes_));
    }
    else if (fault.action_ != soak_action::edit && fault.action_ != soak_action::race) {
        fault.process_ = draw_process(random, size);
    }
    return fault;
}

/** A second lost disk would lose what was accepted: it is a killed process instead. */
void keep_one_wipe(std::vector<soak_fault>& faults)
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
    const auto what =
        fault.action_ == soak_action::link
            ? fmt::format("link {} {}", fault.link_, link_fault_names.name(fault.link_fault_))
            : fmt::format("{} {}", soak_action_names.name(fault.action_), fault.process_);
    return fmt::format("{} ms for {} ms: {}", fault.at_.count(), fault.lasts_.count(), what);
}

auto make_soak_plan(std::uint64_t seed, const soak_size& size) -> std::vector<soak_fault>
{
    const auto random = seeded_random(seed);
    std::vector<soak_fault> faults;
    const auto count = size.length_ / time_per_fault;
    for (std::int64_t number = 0; number < count; ++number) {
        auto fault = draw_fault(random, size);
        faults.push_back(fault);
        const bool is_series = below(random, one_series_in) == 0;
        for (unsigned more = 1; is_series && more < faults_of_series; ++more) {
            fault.at_ += fault.lasts_ + gap_of_series;
            faults.push_back(fault);
        }
    }
    std::erase_if(faults, [&size](const auto& fault) { return fault.at_ >= size.length_; });
    std::ranges::stable_sort(faults, {}, &soak_fault::at_);
    keep_one_wipe(faults);
    return faults;
}

} // namespace sycamorewinch
