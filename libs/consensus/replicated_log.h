/** \file
 * The part of the replicated log that a replica holds in memory: the entries after a compacted
 * prefix.
 *
 * \code
 * log.append({log.last_index() + 1, term, entry_kind::command, "x"});
 * log.compact_through(100); // entries 1 to 100 are covered by a snapshot
 * log.term_at(100);         // the term of the last compacted entry is kept
 * \endcode
 */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "consensus/log_entry.h"

namespace sycamorewinch {

/** Log entries with consecutive indexes. */
class replicated_log {
  public:
    replicated_log() = default;

    /** Constructs the log that follows the entry at \p base_index, whose term is \p base_term. */
    replicated_log(std::uint64_t base_index, std::uint64_t base_term,
                   std::vector<log_entry> entries);

    /** Returns the index of the last compacted entry, 0 for none. */
    [[nodiscard]] auto base_index() const -> std::uint64_t { return base_index_; }
    [[nodiscard]] auto last_index() const -> std::uint64_t { return base_index_ + entries_.size(); }
    [[nodiscard]] auto last_term() const -> std::uint64_t { return *term_at(last_index()); }

    /** Returns the term of the entry at \p index, or nothing when that entry is compacted or not
     * yet appended. The term of the last compacted entry is still known. */
    [[nodiscard]] auto term_at(std::uint64_t index) const -> std::optional<std::uint64_t>;

    /** Returns the entry at \p index, which must be in memory. */
    [[nodiscard]] auto at(std::uint64_t index) const -> const log_entry&;

    /** Returns the entries after \p index that are in memory. */
    [[nodiscard]] auto entries_after(std::uint64_t index) const -> std::vector<log_entry>;

    /** Appends \p entry, whose index must follow the last one. */
    void append(log_entry entry);

    /** Removes the entries after \p index. Compacted entries cannot be removed. */
    void truncate_after(std::uint64_t index);

    /** Removes the entries up to and including \p index from memory; \p index must not be above the
     * last entry. */
    void compact_through(std::uint64_t index);

  private:
    std::uint64_t base_index_ = 0;
    std::uint64_t base_term_ = 0;
    std::deque<log_entry> entries_;
};

} // namespace sycamorewinch
