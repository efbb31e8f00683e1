#include "run_record/run_operation.h"

#include "base/enum_names.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<run_operation_kind, run_operation_kind_count> kind_names{
    {"reserve", "release", "finish", "lose", "announce"}};
constexpr enum_names<run_verdict, run_verdict_count> verdict_names{
    {"granted", "running", "finished", "not_kept", "lost", "key_reused", "record_full",
     "unreachable", "acknowledged"}};

void write_operation(cbor_writer& writer, const run_operation& operation)
{
    writer.array(8).number(static_cast<std::uint64_t>(operation.kind_));
    writer.number(operation.key_.shard_)
        .digest_value(operation.key_.digest_)
        .digest_value(operation.attempt_);
    writer.number(operation.request_hash_).text(operation.node_).number(operation.incarnation_);
    writer.bytes(operation.outcome_);
}

auto read_operation(cbor_reader& reader) -> run_operation
{
    run_operation operation;
    reader.array(8);
    const auto kind = reader.number();
    if (kind >= run_operation_kind_count) {
        reader.reject("unknown kind of run operation");
    }
    operation.kind_ = static_cast<run_operation_kind>(kind);
    operation.key_.shard_ = static_cast<std::uint32_t>(reader.number());
    operation.key_.digest_ = reader.digest_value();
    operation.attempt_ = reader.digest_value();
    operation.request_hash_ = reader.number();
    operation.node_ = reader.text();
    operation.incarnation_ = reader.number();
    operation.outcome_ = reader.bytes();
    if (operation.outcome_.size() > max_outcome_bytes) {
        reader.reject("outcome of a run too long");
    }
    return operation;
}

} // namespace

auto make_run_key(std::string_view service, std::string_view caller,
                  std::string_view idempotency_key) -> run_key
{
    // CBOR encodes the length of each text, so different triples never encode to the same bytes.
    cbor_writer writer;
    writer.array(3).text(service).text(caller).text(idempotency_key);
    return {0, digest_of(writer.take())};
}

auto random_attempt_id(const random_hook& random) -> digest
{
    return {random(), random()};
}

auto name_of(run_operation_kind kind) -> std::string_view
{
    return kind_names.name(kind);
}

auto name_of(run_verdict verdict) -> std::string_view
{
    return verdict_names.name(verdict);
}

auto encode_run_batch(const run_batch& batch) -> std::string
{
    cbor_writer writer;
    writer.array(2).number(batch.time_ms_).array(batch.operations_.size());
    for (const auto& operation : batch.operations_) {
        write_operation(writer, operation);
    }
    return writer.take();
}

auto decode_run_batch(std::string_view bytes) -> result<run_batch>
{
    run_batch batch;
    cbor_reader reader(bytes);
    reader.array(2);
    batch.time_ms_ = reader.number();
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        batch.operations_.push_back(read_operation(reader));
    }
    if (auto done = reader.finish(); !done) {
        return tl::unexpected(done.error());
    }
    return batch;
}

auto encode_run_results(const std::vector<run_result>& results) -> std::string
{
    cbor_writer writer;
    writer.array(results.size());
    for (const auto& item : results) {
        writer.array(3).digest_value(item.attempt_);
        writer.number(static_cast<std::uint64_t>(item.verdict_)).bytes(item.outcome_);
    }
    return writer.take();
}

auto decode_run_results(std::string_view bytes) -> result<std::vector<run_result>>
{
    std::vector<run_result> results;
    cbor_reader reader(bytes);
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        run_result item;
        reader.array(3);
        item.attempt_ = reader.digest_value();
        const auto verdict = reader.number();
        if (verdict >= run_verdict_count) {
            reader.reject("unknown verdict in a run result");
        }
        item.verdict_ = static_cast<run_verdict>(verdict);
        item.outcome_ = reader.bytes();
        results.push_back(std::move(item));
    }
    if (auto done = reader.finish(); !done) {
        return tl::unexpected(done.error());
    }
    return results;
}

} // namespace sycamorewinch
