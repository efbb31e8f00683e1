#include "run_record/run_records.h"

#include <algorithm>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t max_snapshot_items = 10'000'000;
constexpr std::size_t max_node_bytes = 256;
constexpr std::uint64_t last_entry_state = 3;

} // namespace

auto run_records::apply(const run_batch& batch) -> std::vector<run_result>
{
    advance(batch.time_ms_);
    expire();
    std::vector<run_result> results;
    results.reserve(batch.operations_.size());
    for (const auto& operation : batch.operations_) {
        note_incarnation(operation);
        results.push_back(apply_one(operation));
    }
    drop_outcomes();
    return results;
}

void run_records::advance(std::uint64_t time_ms)
{
    if (time_ms > leader_time_ms_) {
        const auto step = static_cast<std::uint64_t>(max_time_step.count());
        now_ms_ += std::min(time_ms - leader_time_ms_, step);
    }
    leader_time_ms_ = time_ms;
}

void run_records::expire()
{
    const auto window = static_cast<std::uint64_t>(limits_.window_.count());
    while (!by_age_.empty()) {
        const auto& [key, attempt] = by_age_.front();
        const auto found = entries_.find(key);
        const bool is_same = found != entries_.end() && found->second.attempt_ == attempt;
        if (is_same && now_ms_ - found->second.reserved_ms_ < window) {
            return;
        }
        if (is_same) {
            outcome_bytes_ -= found->second.outcome_.size();
            entries_.erase(found);
        }
        by_age_.pop_front();
    }
}

void run_records::note_incarnation(const run_operation& operation)
{
    auto& latest = incarnations_[operation.node_];
    latest = std::max(latest, operation.incarnation_);
}

auto run_records::apply_one(const run_operation& operation) -> run_result
{
    if (operation.kind_ == run_operation_kind::reserve) {
        return reserve(operation);
    }
    if (operation.kind_ != run_operation_kind::announce) {
        end_attempt(operation);
    }
    return {operation.attempt_, run_verdict::acknowledged, {}};
}

auto run_records::reserve(const run_operation& operation) -> run_result
{
    const auto found = entries_.find(operation.key_);
    if (found != entries_.end()) {
        const auto verdict = verdict_on(found->second, operation);
        const bool is_finished = verdict == run_verdict::finished;
        return {operation.attempt_, verdict, is_finished ? found->second.outcome_ : std::string()};
    }
    if (operation.incarnation_ < incarnations_.at(operation.node_)) {
        return {operation.attempt_, run_verdict::unreachable, {}}; // that process is gone
    }
    if (entries_.size() >= limits_.keys_) {
        return {operation.attempt_, run_verdict::record_full, {}};
    }
    entries_[operation.key_] = {entry_state::held,
                                operation.attempt_,
                                operation.request_hash_,
                                operation.node_,
                                operation.incarnation_,
                                now_ms_,
                                {}};
    by_age_.emplace_back(operation.key_, operation.attempt_);
    return {operation.attempt_, run_verdict::granted, {}};
}

auto run_records::verdict_on(const entry& held, const run_operation& operation) const -> run_verdict
{
    if (held.request_hash_ != operation.request_hash_) {
        return run_verdict::key_reused;
    }
    switch (held.state_) {
    case entry_state::finished:
        return run_verdict::finished;
    case entry_state::not_kept:
        return run_verdict::not_kept;
    case entry_state::lost:
        return run_verdict::lost;
    case entry_state::held:
        break;
    }
    if (held.attempt_ == operation.attempt_) {
        return run_verdict::granted; // the same operation, sent again
    }
    const auto latest = incarnations_.find(held.node_);
    const bool node_restarted = latest != incarnations_.end() && latest->second > held.incarnation_;
    return node_restarted ? run_verdict::lost : run_verdict::running;
}

void run_records::end_attempt(const run_operation& operation)
{
    const auto found = entries_.find(operation.key_);
    if (found == entries_.end() || found->second.attempt_ != operation.attempt_ ||
        found->second.state_ != entry_state::held) {
        return;
    }
    auto& one = found->second;
    if (operation.kind_ == run_operation_kind::release) {
        entries_.erase(found);
    }
    else if (operation.kind_ == run_operation_kind::lose) {
        one.state_ = entry_state::lost;
    }
    else {
        keep_outcome(operation.key_, one, operation.outcome_);
    }
}

void run_records::keep_outcome(const run_key& key, entry& one, const std::string& outcome)
{
    one.state_ = outcome.empty() ? entry_state::not_kept : entry_state::finished;
    one.outcome_ = outcome;
    outcome_bytes_ += outcome.size();
    if (!outcome.empty()) {
        by_outcome_.emplace_back(key, one.attempt_);
    }
}

void run_records::drop_outcomes()
{
    while (outcome_bytes_ > limits_.outcome_bytes_ && !by_outcome_.empty()) {
        const auto [key, attempt] = by_outcome_.front();
        by_outcome_.pop_front();
        const auto found = entries_.find(key);
        if (found != entries_.end() && found->second.attempt_ == attempt) {
            outcome_bytes_ -= found->second.outcome_.size();
            found->second.outcome_.clear();
            found->second.state_ = entry_state::not_kept;
        }
    }
    while (!by_outcome_.empty() && !entries_.contains(by_outcome_.front().first)) {
        by_outcome_.pop_front(); // its key has expired
    }
}

auto run_records::encode() const -> std::string
{
    cbor_writer writer;
    writer.array(6).number(leader_time_ms_).number(now_ms_);
    writer.array(entries_.size());
    for (const auto& [key, one] : entries_) {
        writer.array(9).number(key.shard_).digest_value(key.digest_);
        writer.number(static_cast<std::uint64_t>(one.state_)).digest_value(one.attempt_);
        writer.number(one.request_hash_).text(one.node_).number(one.incarnation_);
        writer.number(one.reserved_ms_).bytes(one.outcome_);
    }
    for (const auto* order : {&by_age_, &by_outcome_}) {
        writer.array(order->size());
        for (const auto& [key, attempt] : *order) {
            writer.array(3).number(key.shard_).digest_value(key.digest_).digest_value(attempt);
        }
    }
    writer.array(incarnations_.size());
    for (const auto& [node, incarnation] : incarnations_) {
        writer.array(2).text(node).number(incarnation);
    }
    return writer.take();
}

auto run_records::decode(std::string_view bytes, run_record_limits limits) -> result<run_records>
{
    run_records records(limits);
    cbor_reader reader(bytes);
    reader.array(6);
    records.leader_time_ms_ = reader.number();
    records.now_ms_ = reader.number();
    for (auto left = reader.list(max_snapshot_items); left > 0 && reader.good(); --left) {
        run_key key;
        entry one;
        reader.array(9);
        key.shard_ = static_cast<std::uint32_t>(reader.number());
        key.digest_ = reader.digest_value();
        const auto state = reader.number();
        if (state > last_entry_state) {
            reader.reject("unknown state of a run record");
        }
        one.state_ = static_cast<entry_state>(state);
        one.attempt_ = reader.digest_value();
        one.request_hash_ = reader.number();
        one.node_ = reader.text(max_node_bytes);
        one.incarnation_ = reader.number();
        one.reserved_ms_ = reader.number();
        one.outcome_ = reader.bytes(max_outcome_bytes);
        records.outcome_bytes_ += one.outcome_.size();
        records.entries_[key] = std::move(one);
    }
    for (auto* order : {&records.by_age_, &records.by_outcome_}) {
        for (auto left = reader.list(max_snapshot_items); left > 0 && reader.good(); --left) {
            run_key key;
            reader.array(3);
            key.shard_ = static_cast<std::uint32_t>(reader.number());
            key.digest_ = reader.digest_value();
            const auto attempt = reader.digest_value();
            order->emplace_back(key, attempt);
        }
    }
    for (auto left = reader.list(max_snapshot_items); left > 0 && reader.good(); --left) {
        reader.array(2);
        const auto node = reader.text(max_node_bytes);
        records.incarnations_[node] = reader.number();
    }
    if (auto done = reader.finish(); !done) {
        return tl::unexpected(done.error());
    }
    return records;
}

} // namespace sycamorewinch
