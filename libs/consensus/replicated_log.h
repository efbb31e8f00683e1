/** \file
 * The entries of the replicated log that a replica holds in memory, behind a compacted start.
 *
 * \code
 * log.append({log.last_index() + 1, term, entry_kind::command, "x"});
 * log.drop_through(100);   // entries 1 to 100 now live in a snapshot
 * log.term_at(100);        // still known
 * \endcode
 */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "consensus/log_entry.h"

namespace sycamorewinch {

/** A run of entries with rising indexes. */
class replicated_log {
  public:
    replicated_log() = default;

    /** Builds the log that follows the entry at \p base_index, whose term is \p base_term. */
    replicated_log(std::uint64_t base_index, std::uint64_t base_term,
                   std::vector<log_entry> entries);

    /** Returns the index of the entry before the first one held. */
    [[nodiscard]] auto base_index() const -> std::uint64_t { return base_index_; }
    [[nodiscard]] auto last_index() const -> std::uint64_t { return base_index_ + entries_.size(); }
    [[nodiscard]] auto last_term() const -> std::uint64_t { return *term_at(last_index()); }

    /** Returns the term of an entry, or nothing when it is compacted or not there yet. */
    [[nodiscard]] auto term_at(std::uint64_t index) const -> std::optional<std::uint64_t>;

    /** Returns the entry at \p index, which must be held. */
    [[nodiscard]] auto at(std::uint64_t index) const -> const log_entry&;

    /** Returns the entries behind \p index. */
    [[nodiscard]] auto after(std::uint64_t index) const -> std::vector<log_entry>;

    /** Adds the next entry. */
    void append(log_entry entry);

    /** Drops the entries above \p index. */
    void truncate_after(std::uint64_t index);

    /** Drops the entries up to and including \p index, which must be held. */
    void drop_through(std::uint64_t index);

  private:
    std::uint64_t base_index_ = 0;
    std::uint64_t base_term_ = 0;
    std::deque<log_entry> entries_;
};

} // namespace sycamorewinch
