#include "request_path/unrepeatable_run.h"

#include <utility>

#include <fmt/core.h>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

auto encode_response(const stored_response& response) -> std::string
{
    cbor_writer writer;
    writer.array(3).number(response.head_.status_).bytes(response.body_);
    writer.array(response.head_.headers_.size());
    for (const auto& field : response.head_.headers_) {
        writer.array(2).bytes(field.name_).bytes(field.value_);
    }
    auto bytes = writer.take();
    return bytes.size() <= max_outcome_bytes ? bytes : std::string();
}

auto decode_response(std::string_view bytes) -> result<stored_response>
{
    stored_response response;
    cbor_reader reader(bytes);
    reader.array(3);
    response.head_.status_ = static_cast<unsigned>(reader.number());
    response.body_ = reader.bytes();
    for (auto left = reader.list(); left > 0 && reader.good(); --left) {
        reader.array(2);
        auto name = reader.bytes();
        auto value = reader.bytes();
        response.head_.headers_.push_back({std::move(name), std::move(value)});
    }
    if (auto done = reader.finish(); !done) {
        return tl::unexpected(done.error());
    }
    if (!is_final_status(response.head_.status_)) {
        return failure(error_kind::corrupt,
                       fmt::format("a stored response has the status {}", response.head_.status_));
    }
    response.head_.has_body_ = !response.body_.empty();
    response.head_.content_length_ = response.body_.size();
    return response;
}

auto refusal_reason_for(run_verdict verdict) -> std::optional<refusal_reason>
{
    switch (verdict) {
    case run_verdict::granted:
    case run_verdict::finished:
        return std::nullopt;
    case run_verdict::running:
        return refusal_reason::run_in_progress;
    case run_verdict::not_kept:
        return refusal_reason::run_outcome_dropped;
    case run_verdict::lost:
        return refusal_reason::run_outcome_unknown;
    case run_verdict::key_reused:
        return refusal_reason::key_reused;
    case run_verdict::record_full:
        return refusal_reason::record_full;
    default:
        return refusal_reason::record_unreachable;
    }
}

unrepeatable_run::unrepeatable_run(const run_record_hooks& hooks, worker_run_client& client,
                                   const exchange_request& request)
    : hooks_(hooks), client_(client)
{
    const auto& head = request.head_;
    const auto key = find_header(head.headers_, idempotency_key_header);
    operation_.key_ = make_run_key(request.service_, request.caller_, key);
    operation_.attempt_ = client.make_attempt_id();
    operation_.request_hash_ = hash_of(head.method_ + " " + head.path_);
}

unrepeatable_run::~unrepeatable_run()
{
    client_.forget(operation_.attempt_);
    lose();
}

void unrepeatable_run::reserve(const std::function<void(const run_result& result)>& callback)
{
    client_.reserve(hooks_, operation_, [this, callback](const run_result& result) {
        granted_ = result.verdict_ == run_verdict::granted;
        callback(result);
    });
}

void unrepeatable_run::on_response(const message_head& head)
{
    response_.head_.status_ = head.status_;
    response_.head_.headers_ = head.headers_;
    remove_hop_headers(response_.head_.headers_);
    remove_header(response_.head_.headers_, "content-length");
}

void unrepeatable_run::on_body(std::string_view bytes)
{
    too_large_ = too_large_ || response_.body_.size() + bytes.size() > max_outcome_bytes;
    if (!too_large_) {
        response_.body_ += bytes;
    }
}

void unrepeatable_run::finish()
{
    operation_.outcome_ = too_large_ ? std::string() : encode_response(response_);
    end(run_operation_kind::finish);
}

void unrepeatable_run::end(run_operation_kind kind)
{
    if (std::exchange(granted_, false)) {
        operation_.kind_ = kind;
        hooks_.end_(operation_);
    }
}

} // namespace sycamorewinch
