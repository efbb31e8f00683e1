#include "consensus/replicated_log.h"

#include <iterator>

#include "base/invariant.h"

namespace sycamorewinch {

replicated_log::replicated_log(std::uint64_t base_index, std::uint64_t base_term,
                               std::vector<log_entry> entries)
    : base_index_(base_index), base_term_(base_term),
      entries_(std::make_move_iterator(entries.begin()), std::make_move_iterator(entries.end()))
{
}

auto replicated_log::term_at(std::uint64_t index) const -> std::optional<std::uint64_t>
{
    if (index == base_index_) {
        return base_term_;
    }
    if (index < base_index_ || index > last_index()) {
        return std::nullopt;
    }
    return at(index).term_;
}

auto replicated_log::at(std::uint64_t index) const -> const log_entry&
{
    invariant(index > base_index_ && index <= last_index(), "entry {} is not in the log ({}, {}]",
              index, base_index_, last_index());
    return entries_[index - base_index_ - 1];
}

auto replicated_log::entries_after(std::uint64_t index) const -> std::vector<log_entry>
{
    std::vector<log_entry> entries;
    for (auto next = std::max(index, base_index_) + 1; next <= last_index(); ++next) {
        entries.push_back(at(next));
    }
    return entries;
}

void replicated_log::append(log_entry entry)
{
    invariant(entry.index_ == last_index() + 1, "entry {} does not follow entry {}", entry.index_,
              last_index());
    entries_.push_back(std::move(entry));
}

void replicated_log::truncate_after(std::uint64_t index)
{
    invariant(index >= base_index_, "entry {} is compacted and cannot be truncated", index + 1);
    while (last_index() > index) {
        entries_.pop_back();
    }
}

void replicated_log::compact_through(std::uint64_t index)
{
    invariant(index <= last_index(), "cannot compact through entry {}, which is not in the log yet",
              index);
    while (base_index_ < index) {
        base_term_ = entries_.front().term_;
        ++base_index_;
        entries_.pop_front();
    }
}

} // namespace sycamorewinch
