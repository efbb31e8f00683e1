#include "consensus/raft_message.h"

#include <algorithm>

#include "base/enum_names.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "consensus/log_entry_codec.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<raft_message_kind, 11> kind_names{
    {"vote_request", "vote_reply", "append_request", "append_reply", "pre_vote_request",
     "pre_vote_reply", "snapshot_request", "snapshot_reply", "recovery_request", "recovery_reply",
     "timeout_now"}};

constexpr std::size_t message_fields = 15;
constexpr std::uint64_t max_quorum_age_ms = 60'000; ///< A greater age has the same effect.

} // namespace

auto name_of(raft_message_kind kind) -> std::string_view
{
    return kind_names.name(kind);
}

auto encode_message(const raft_message& message) -> std::string
{
    cbor_writer writer;
    writer.array(message_fields).number(static_cast<std::uint64_t>(message.kind_));
    writer.text(message.from_).text(message.to_).number(message.term_);
    writer.number(message.log_index_).number(message.log_term_).number(message.commit_index_);
    writer.number(message.round_).number(message.quorum_age_ms_);
    writer.boolean(message.recovering_).boolean(message.accepted_);
    writer.array(message.entries_.size());
    for (const auto& entry : message.entries_) {
        write_entry(writer, entry);
    }
    writer.number(message.offset_).number(message.total_).bytes(message.data_);
    return writer.take();
}

auto decode_raft_message(std::string_view bytes) -> result<raft_message>
{
    raft_message message;
    cbor_reader reader(bytes);
    reader.array(message_fields);
    const auto kind = reader.number();
    if (kind >= kind_names.size()) {
        reader.reject("replica message of unknown kind");
    }
    message.kind_ = static_cast<raft_message_kind>(kind);
    message.from_ = reader.text();
    message.to_ = reader.text();
    message.term_ = reader.number();
    message.log_index_ = reader.number();
    message.log_term_ = reader.number();
    message.commit_index_ = reader.number();
    message.round_ = reader.number();
    message.quorum_age_ms_ = std::min(reader.number(), max_quorum_age_ms);
    message.recovering_ = reader.boolean();
    message.accepted_ = reader.boolean();
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        message.entries_.push_back(read_entry(reader));
    }
    message.offset_ = reader.number();
    message.total_ = reader.number();
    message.data_ = reader.bytes();
    if (auto finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    return message;
}

} // namespace sycamorewinch
