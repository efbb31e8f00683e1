#include "run_record/run_records.h"

#include <algorithm>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

namespace {

constexpr std::uint64_t last_entry_state = 3;

} // namespace

auto run_records::apply(const run_batch& batch) -> std::vector<run_result>
{
    advance_clock(batch.time_ms_);
    remove_expired_keys();
    std::vector<run_result> results;
    results.reserve(batch.operations_.size());
    for (const auto& operation : batch.operations_) {
        update_latest_incarnation(operation);
        results.push_back(apply_one(operation));
    }
    evict_outcomes();
    return results;
}

void run_records::advance_clock(std::uint64_t time_ms)
{
    if (time_ms > leader_time_ms_) {
        const auto max_step_ms = static_cast<std::uint64_t>(max_time_step.count());
        now_ms_ += std::min(time_ms - leader_time_ms_, max_step_ms);
    }
    leader_time_ms_ = time_ms;
}

void run_records::remove_expired_keys()
{
    const auto retention = static_cast<std::uint64_t>(limits_.retention_.count());
    while (!reservation_order_.empty()) {
        const auto& [key, attempt] = reservation_order_.front();
        const auto found = entries_.find(key);
        const bool is_same_attempt = found != entries_.end() && found->second.attempt_ == attempt;
        if (is_same_attempt && now_ms_ - found->second.reserved_ms_ < retention) {
            return;
        }
        if (is_same_attempt) {
            outcome_bytes_ -= found->second.outcome_.size();
            entries_.erase(found);
        }
        reservation_order_.pop_front();
    }
}

void run_records::update_latest_incarnation(const run_operation& operation)
{
    auto& latest = latest_incarnations_[operation.node_];
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
        const auto verdict = verdict_for_existing_key(found->second, operation);
        const bool is_finished = verdict == run_verdict::finished;
        return {operation.attempt_, verdict, is_finished ? found->second.outcome_ : std::string()};
    }
    if (operation.incarnation_ < latest_incarnations_.at(operation.node_)) {
        return {operation.attempt_, run_verdict::unreachable, {}}; // sent by an earlier incarnation
    }
    if (entries_.size() >= limits_.max_keys_) {
        return {operation.attempt_, run_verdict::record_full, {}};
    }
    entries_[operation.key_] = {entry_state::reserved,
                                operation.attempt_,
                                operation.request_hash_,
                                operation.node_,
                                operation.incarnation_,
                                now_ms_,
                                {}};
    reservation_order_.emplace_back(operation.key_, operation.attempt_);
    return {operation.attempt_, run_verdict::granted, {}};
}

auto run_records::verdict_for_existing_key(const entry& existing,
                                           const run_operation& operation) const -> run_verdict
{
    if (existing.request_hash_ != operation.request_hash_) {
        return run_verdict::key_reused;
    }
    switch (existing.state_) {
    case entry_state::finished:
        return run_verdict::finished;
    case entry_state::not_kept:
        return run_verdict::not_kept;
    case entry_state::lost:
        return run_verdict::lost;
    case entry_state::reserved:
        break;
    }
    if (existing.attempt_ == operation.attempt_) {
        return run_verdict::granted; // the same reservation, resent
    }
    const auto latest = latest_incarnations_.find(existing.node_);
    const bool node_restarted =
        latest != latest_incarnations_.end() && latest->second > existing.incarnation_;
    return node_restarted ? run_verdict::lost : run_verdict::running;
}

void run_records::end_attempt(const run_operation& operation)
{
    const auto found = entries_.find(operation.key_);
    if (found == entries_.end() || found->second.attempt_ != operation.attempt_ ||
        found->second.state_ != entry_state::reserved) {
        return;
    }
    auto& record = found->second;
    if (operation.kind_ == run_operation_kind::release) {
        entries_.erase(found);
    }
    else if (operation.kind_ == run_operation_kind::lose) {
        record.state_ = entry_state::lost;
    }
    else {
        store_outcome(operation.key_, record, operation.outcome_);
    }
}

void run_records::store_outcome(const run_key& key, entry& record, const std::string& outcome)
{
    record.state_ = outcome.empty() ? entry_state::not_kept : entry_state::finished;
    record.outcome_ = outcome;
    outcome_bytes_ += outcome.size();
    if (!outcome.empty()) {
        outcome_order_.emplace_back(key, record.attempt_);
    }
}

void run_records::evict_outcomes()
{
    while (outcome_bytes_ > limits_.max_total_outcome_bytes_ && !outcome_order_.empty()) {
        const auto [key, attempt] = outcome_order_.front();
        outcome_order_.pop_front();
        const auto found = entries_.find(key);
        if (found != entries_.end() && found->second.attempt_ == attempt) {
            outcome_bytes_ -= found->second.outcome_.size();
            found->second.outcome_.clear();
            found->second.state_ = entry_state::not_kept;
        }
    }
    while (!outcome_order_.empty() && !entries_.contains(outcome_order_.front().first)) {
        outcome_order_.pop_front(); // the key has expired
    }
}

auto run_records::encode() const -> std::string
{
    cbor_writer writer;
    writer.array(6).number(leader_time_ms_).number(now_ms_);
    writer.array(entries_.size());
    for (const auto& [key, record] : entries_) {
        writer.array(9).number(key.shard_).digest_value(key.digest_);
        writer.number(static_cast<std::uint64_t>(record.state_)).digest_value(record.attempt_);
        writer.number(record.request_hash_).text(record.node_).number(record.incarnation_);
        writer.number(record.reserved_ms_).bytes(record.outcome_);
    }
    for (const auto* order : {&reservation_order_, &outcome_order_}) {
        writer.array(order->size());
        for (const auto& [key, attempt] : *order) {
            writer.array(3).number(key.shard_).digest_value(key.digest_).digest_value(attempt);
        }
    }
    writer.array(latest_incarnations_.size());
    for (const auto& [node, incarnation] : latest_incarnations_) {
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
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        run_key key;
        entry record;
        reader.array(9);
        key.shard_ = static_cast<std::uint32_t>(reader.number());
        key.digest_ = reader.digest_value();
        const auto state = reader.number();
        if (state > last_entry_state) {
            reader.reject("unknown state of an entry in the run record");
        }
        record.state_ = static_cast<entry_state>(state);
        record.attempt_ = reader.digest_value();
        record.request_hash_ = reader.number();
        record.node_ = reader.text();
        record.incarnation_ = reader.number();
        record.reserved_ms_ = reader.number();
        record.outcome_ = reader.bytes();
        records.outcome_bytes_ += record.outcome_.size();
        records.entries_[key] = std::move(record);
    }
    for (auto* order : {&records.reservation_order_, &records.outcome_order_}) {
        for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
            run_key key;
            reader.array(3);
            key.shard_ = static_cast<std::uint32_t>(reader.number());
            key.digest_ = reader.digest_value();
            const auto attempt = reader.digest_value();
            order->emplace_back(key, attempt);
        }
    }
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        reader.array(2);
        const auto node = reader.text();
        records.latest_incarnations_[node] = reader.number();
    }
    if (auto done = reader.finish(); !done) {
        return tl::unexpected(done.error());
    }
    return records;
}

} // namespace sycamorewinch
