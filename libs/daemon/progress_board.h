/** \file
 * How far the nodes below each of the other control replicas have come, as those last said.
 *
 * Pure. A replica that has died or fallen silent can no longer speak for its subscribers: they move
 * to other replicas and are counted there. Its last word is kept until they have had the time to
 * move, so that they are not missed meanwhile, and then left out, so that it holds nothing up.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "distribution/distribution_message.h"

namespace sycamorewinch {

/** How often each replica tells the others. */
constexpr auto progress_period = std::chrono::milliseconds(500);
/** A replica is silent once it has said nothing for this long. */
constexpr auto progress_silence = std::chrono::milliseconds(6'000);
/** A replica whose connection ended is left out after this long. */
constexpr auto progress_grace = std::chrono::milliseconds(2'000);

/** The other replicas' reports. */
class progress_board {
  public:
    /** Takes what \p from says of the nodes below it. */
    void report(const std::string& from, std::vector<zone_progress> zones, instant now);

    /** The connection to \p name ended. */
    void on_disconnected(const std::string& name, instant now);

    /** Returns \p own with the reports that still count added. */
    [[nodiscard]] auto total(std::vector<zone_progress> own, instant now) const
        -> std::vector<zone_progress>;

    /** Returns the replicas whose nodes are not counted now. */
    [[nodiscard]] auto silent(instant now) const -> std::vector<std::string>;

  private:
    struct entry {
        std::vector<zone_progress> zones_;
        instant counts_until_;
    };

    std::map<std::string, entry> entries_;
};

} // namespace sycamorewinch
