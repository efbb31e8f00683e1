#include "consensus/group_membership.h"

#include <algorithm>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

namespace {

void write_names(cbor_writer& writer, const std::vector<std::string>& names)
{
    writer.array(names.size());
    for (const auto& name : names) {
        writer.text(name);
    }
}

auto read_names(cbor_reader& reader) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        names.push_back(reader.text());
    }
    return names;
}

auto count_missing(const std::vector<std::string>& names, const std::vector<std::string>& from)
    -> std::ptrdiff_t
{
    return std::ranges::count_if(
        names, [&from](const auto& name) { return std::ranges::find(from, name) == from.end(); });
}

} // namespace

auto group_membership::is_voter(std::string_view name) const -> bool
{
    return std::ranges::find(voters_, name) != voters_.end();
}

auto group_membership::is_learner(std::string_view name) const -> bool
{
    return std::ranges::find(learners_, name) != learners_.end();
}

auto group_membership::all() const -> std::vector<std::string>
{
    auto names = voters_;
    names.insert(names.end(), learners_.begin(), learners_.end());
    return names;
}

auto is_valid_change(const group_membership& before, const group_membership& next) -> bool
{
    const auto added = count_missing(next.voters_, before.voters_);
    const auto removed = count_missing(before.voters_, next.voters_);
    return !next.voters_.empty() && added + removed <= 1;
}

auto encode_membership(const group_membership& membership) -> std::string
{
    cbor_writer writer;
    writer.array(2);
    write_names(writer, membership.voters_);
    write_names(writer, membership.learners_);
    return writer.take();
}

auto decode_membership(std::string_view bytes) -> result<group_membership>
{
    group_membership membership;
    cbor_reader reader(bytes);
    reader.array(2);
    membership.voters_ = read_names(reader);
    membership.learners_ = read_names(reader);
    if (auto finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    return membership;
}

} // namespace sycamorewinch
