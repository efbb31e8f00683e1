#include "rollout/rollout_records.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

constexpr std::size_t command_fields = 11;
constexpr std::size_t record_fields = 10;
constexpr std::size_t step_fields = 4;
/** The order, three changes of the share and the end are 5. */
constexpr std::size_t max_steps = 64;

auto read_share(cbor_reader& reader) -> std::uint32_t
{
    const auto share = reader.number();
    if (share > whole_share) {
        reader.reject("the share of a roll-out is out of range");
        return 0;
    }
    return static_cast<std::uint32_t>(share);
}

auto read_state(cbor_reader& reader) -> rollout_state
{
    const auto state = reader.number();
    if (state > static_cast<std::uint64_t>(rollout_state::rolled_back)) {
        reader.reject("the state of a roll-out is out of range");
        return rollout_state::running;
    }
    return static_cast<rollout_state>(state);
}

void write_record(cbor_writer& writer, const rollout_record& record)
{
    const auto& rollout = record.rollout_;
    writer.array(record_fields).text(rollout.service_).text(rollout.new_version_);
    writer.number(rollout.id_).number(static_cast<std::uint64_t>(rollout.state_));
    writer.number(rollout.share_).number(record.step_).number(record.duration_ms_);
    writer.number(record.elapsed_ms_).number(record.share_since_ms_);
    writer.array(record.steps_.size());
    for (const auto& step : record.steps_) {
        writer.array(step_fields).number(step.elapsed_ms_);
        writer.number(static_cast<std::uint64_t>(step.state_)).number(step.share_);
        writer.text(step.reason_);
    }
}

auto read_record(cbor_reader& reader) -> rollout_record
{
    rollout_record record;
    reader.array(record_fields);
    record.rollout_.service_ = reader.text();
    record.rollout_.new_version_ = reader.text();
    record.rollout_.id_ = reader.number();
    record.rollout_.state_ = read_state(reader);
    record.rollout_.share_ = read_share(reader);
    record.step_ = reader.number();
    record.duration_ms_ = reader.number();
    record.elapsed_ms_ = reader.number();
    record.share_since_ms_ = reader.number();
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        rollout_step step;
        reader.array(step_fields);
        step.elapsed_ms_ = reader.number();
        step.state_ = read_state(reader);
        step.share_ = read_share(reader);
        step.reason_ = reader.text();
        record.steps_.push_back(std::move(step));
    }
    return record;
}

} // namespace

auto rollout_records::check_start(const rollout_command& order) const -> rollout_outcome
{
    const auto* record = find(order.service_);
    if (record == nullptr) {
        return records_.size() < max_rollout_records ? rollout_outcome::applied
                                                     : rollout_outcome::full;
    }
    const auto& latest = record->rollout_;
    const bool is_same = latest.new_version_ == order.version_;
    switch (latest.state_) {
    case rollout_state::running:
        return is_same ? rollout_outcome::repeated : rollout_outcome::other_running;
    case rollout_state::completed:
        return is_same ? rollout_outcome::repeated : rollout_outcome::applied;
    case rollout_state::rolled_back:
        return is_same && !order.repeats_rolled_back_ ? rollout_outcome::repeated
                                                      : rollout_outcome::applied;
    }
    return rollout_outcome::superseded;
}

auto rollout_records::start(const rollout_command& order) -> rollout_outcome
{
    const auto outcome = check_start(order);
    if (outcome == rollout_outcome::applied) {
        rollout_record record;
        record.rollout_ = {order.service_, order.version_, ++latest_id_, rollout_state::running,
                           order.share_};
        record.duration_ms_ = order.duration_ms_;
        record.steps_ = {{0, rollout_state::running, order.share_, "ordered"}};
        records_[order.service_] = std::move(record);
        ++sequence_;
    }
    return outcome;
}

auto rollout_records::apply(const rollout_command& command) -> rollout_outcome
{
    if (command.kind_ == rollout_command_kind::start) {
        return start(command);
    }
    const auto found = records_.find(command.service_);
    if (found == records_.end()) {
        return rollout_outcome::superseded;
    }
    auto& record = found->second;
    auto& rollout = record.rollout_;
    if (rollout.id_ != command.id_ || record.step_ != command.step_ ||
        rollout.state_ != rollout_state::running) {
        return rollout_outcome::superseded;
    }
    ++record.step_;
    record.elapsed_ms_ = std::max(record.elapsed_ms_, command.elapsed_ms_);
    if (command.kind_ == rollout_command_kind::step) {
        if (rollout.share_ == command.share_) {
            return rollout_outcome::applied;
        }
        rollout.share_ = command.share_;
    }
    else {
        rollout.state_ = command.state_;
        rollout.share_ = command.state_ == rollout_state::completed ? whole_share : 0;
    }
    record.share_since_ms_ = record.elapsed_ms_;
    if (record.steps_.size() < max_steps) {
        record.steps_.push_back(
            {record.elapsed_ms_, rollout.state_, rollout.share_, command.reason_});
    }
    ++sequence_;
    return rollout_outcome::applied;
}

auto rollout_records::find(std::string_view service) const -> const rollout_record*
{
    const auto found = records_.find(service);
    return found == records_.end() ? nullptr : &found->second;
}

auto rollout_records::published() const -> rollout_set
{
    rollout_set set;
    set.sequence_ = sequence_;
    set.rollouts_.reserve(records_.size());
    for (const auto& [service, record] : records_) {
        set.rollouts_.push_back(record.rollout_);
    }
    return set;
}

auto rollout_records::encode() const -> std::string
{
    cbor_writer writer;
    writer.array(3).number(sequence_).number(latest_id_).array(records_.size());
    for (const auto& [service, record] : records_) {
        write_record(writer, record);
    }
    return writer.take();
}

auto rollout_records::decode(std::string_view bytes) -> result<rollout_records>
{
    rollout_records records;
    cbor_reader reader(bytes);
    reader.array(3);
    records.sequence_ = reader.number();
    records.latest_id_ = reader.number();
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        auto record = read_record(reader);
        const auto service = record.rollout_.service_;
        if (!records.records_.emplace(service, std::move(record)).second) {
            reader.reject("two roll-out records name one service");
        }
    }
    if (auto finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    return records;
}

auto encode_command(const rollout_command& command) -> std::string
{
    cbor_writer writer;
    writer.array(command_fields).number(static_cast<std::uint64_t>(command.kind_));
    writer.text(command.service_).text(command.version_).number(command.id_).number(command.step_);
    writer.number(command.share_).number(static_cast<std::uint64_t>(command.state_));
    writer.number(command.duration_ms_).number(command.elapsed_ms_);
    writer.boolean(command.repeats_rolled_back_).text(command.reason_);
    return writer.take();
}

auto decode_rollout_command(std::string_view bytes) -> result<rollout_command>
{
    rollout_command command;
    cbor_reader reader(bytes);
    reader.array(command_fields);
    const auto kind = reader.number();
    if (kind > static_cast<std::uint64_t>(rollout_command_kind::end)) {
        reader.reject("a roll-out command of unknown kind");
    }
    command.kind_ = static_cast<rollout_command_kind>(kind);
    command.service_ = reader.text();
    command.version_ = reader.text();
    command.id_ = reader.number();
    command.step_ = reader.number();
    command.share_ = read_share(reader);
    command.state_ = read_state(reader);
    command.duration_ms_ = reader.number();
    command.elapsed_ms_ = reader.number();
    command.repeats_rolled_back_ = reader.boolean();
    command.reason_ = reader.text();
    if (auto finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    return command;
}

} // namespace sycamorewinch
