#include "rollout/rollout.h"

#include <algorithm>

#include "base/enum_names.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<rollout_state, 3> state_names{{"running", "completed", "rolled_back"}};
constexpr std::size_t rollout_fields = 5;

auto read_rollout(cbor_reader& reader) -> rollout
{
    rollout read;
    reader.array(rollout_fields);
    read.service_ = reader.text();
    read.new_version_ = reader.text();
    read.id_ = reader.number();
    const auto state = reader.number();
    const auto share = reader.number();
    if (state >= state_names.size() || share > whole_share) {
        reader.reject("the state or share of a roll-out is out of range");
        return read;
    }
    read.state_ = static_cast<rollout_state>(state);
    read.share_ = static_cast<std::uint32_t>(share);
    return read;
}

} // namespace

auto name_of(rollout_state state) -> std::string_view
{
    return state_names.name(state);
}

auto rollout_set::find(std::string_view service) const -> const rollout*
{
    const auto found = std::ranges::lower_bound(rollouts_, service, {}, &rollout::service_);
    return found != rollouts_.end() && found->service_ == service ? &*found : nullptr;
}

void write_rollout_set(cbor_writer& writer, const rollout_set& rollouts)
{
    writer.array(2).number(rollouts.sequence_).array(rollouts.rollouts_.size());
    for (const auto& rollout : rollouts.rollouts_) {
        writer.array(rollout_fields).text(rollout.service_).text(rollout.new_version_);
        writer.number(rollout.id_).number(static_cast<std::uint64_t>(rollout.state_));
        writer.number(rollout.share_);
    }
}

auto read_rollout_set(cbor_reader& reader) -> rollout_set
{
    rollout_set rollouts;
    reader.array(2);
    rollouts.sequence_ = reader.number();
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        rollouts.rollouts_.push_back(read_rollout(reader));
    }
    const bool is_sorted =
        std::ranges::is_sorted(rollouts.rollouts_, std::ranges::less_equal{}, &rollout::service_);
    if (!is_sorted) {
        reader.reject("the roll-outs are not sorted by service");
    }
    return rollouts;
}

} // namespace sycamorewinch
