#include "storage/replica_store.h"

#include <fmt/core.h>

#include "base/digest.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

namespace {

constexpr const char* vote_path = "vote";
constexpr const char* log_path = "log";
constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_record_bytes = 64U * 1024 * 1024;
constexpr std::size_t word_bytes = 8;
constexpr std::size_t frame_bytes = 2 * word_bytes; // length, checksum

void put_word(std::string& out, std::uint64_t value)
{
    constexpr unsigned bits_in_byte = 8;
    for (unsigned index = 0; index < word_bytes; ++index) {
        out.push_back(static_cast<char>(value >> (bits_in_byte * index)));
    }
}

auto get_word(std::string_view bytes) -> std::uint64_t
{
    constexpr unsigned bits_in_byte = 8;
    std::uint64_t value = 0;
    for (unsigned index = 0; index < word_bytes; ++index) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[index]))
                 << (bits_in_byte * index);
    }
    return value;
}

auto frame(std::string_view payload) -> std::string
{
    std::string out;
    put_word(out, payload.size());
    put_word(out, hash_of(payload, payload.size()));
    out += payload;
    return out;
}

/** Returns the payload of the record at the start of \p bytes, or an error if it is damaged. */
auto unframe(std::string_view bytes) -> result<std::string_view>
{
    if (bytes.size() < frame_bytes) {
        return failure(error_kind::corrupt, "a record is cut short");
    }
    const auto length = get_word(bytes);
    if (length > max_record_bytes || length > bytes.size() - frame_bytes) {
        return failure(error_kind::corrupt, "a record is cut short");
    }
    const auto payload = bytes.substr(frame_bytes, length);
    if (hash_of(payload, length) != get_word(bytes.substr(word_bytes))) {
        return failure(error_kind::corrupt, "a record's checksum is wrong");
    }
    return payload;
}

auto encode_entry(const log_entry& entry) -> std::string
{
    cbor_writer writer;
    writer.array(4).number(entry.index_).number(entry.term_);
    writer.number(static_cast<std::uint64_t>(entry.kind_)).bytes(entry.payload_);
    return writer.take();
}

auto decode_entry(std::string_view bytes) -> result<log_entry>
{
    log_entry entry;
    cbor_reader reader(bytes);
    reader.array(4);
    entry.index_ = reader.number();
    entry.term_ = reader.number();
    const auto kind = reader.number();
    if (kind > static_cast<std::uint64_t>(entry_kind::membership)) {
        reader.reject("unknown kind of log entry");
    }
    entry.kind_ = static_cast<entry_kind>(kind);
    entry.payload_ = reader.bytes(max_record_bytes);
    if (auto done = reader.finish(); !done) {
        return tl::unexpected(done.error());
    }
    return entry;
}

/** Returns whether a whole, sound record starts anywhere in \p bytes. */
auto holds_sound_record(std::string_view bytes) -> bool
{
    for (std::size_t start = 0; start + frame_bytes <= bytes.size(); ++start) {
        if (get_word(bytes.substr(start)) > 0 && unframe(bytes.substr(start))) {
            return true;
        }
    }
    return false;
}

} // namespace

auto replica_store::open(file_system files) -> result<replica_store>
{
    replica_store store(std::move(files));
    if (auto loaded = store.load_vote(); !loaded) {
        return tl::unexpected(loaded.error());
    }
    if (auto loaded = store.load_log(); !loaded) {
        return tl::unexpected(loaded.error());
    }
    return store;
}

auto replica_store::load_vote() -> result<void>
{
    const auto bytes = files_.read_(vote_path);
    if (!bytes) {
        return bytes.error().kind_ == error_kind::not_found ? result<void>()
                                                            : tl::unexpected(bytes.error());
    }
    const auto payload = unframe(*bytes);
    if (!payload) {
        return failure(error_kind::corrupt,
                       fmt::format("file {}: {}", vote_path, payload.error().message_));
    }
    cbor_reader reader(*payload);
    reader.array(2);
    recovered_.vote_.term_ = reader.number();
    recovered_.vote_.voted_for_ = reader.text(max_name_length);
    return reader.finish();
}

auto replica_store::load_log() -> result<void>
{
    const auto bytes = files_.read_(log_path);
    if (!bytes) {
        return bytes.error().kind_ == error_kind::not_found ? result<void>()
                                                            : tl::unexpected(bytes.error());
    }
    std::string_view rest(*bytes);
    while (!rest.empty()) {
        const auto offset = bytes->size() - rest.size();
        const auto payload = unframe(rest);
        if (!payload) {
            // A crash tears only the end: a sound record behind the damage means the disk lied.
            if (holds_sound_record(rest.substr(1))) {
                return failure(error_kind::corrupt,
                               fmt::format("file {} is damaged at offset {}: {}", log_path, offset,
                                           payload.error().message_));
            }
            return files_.truncate_(log_path, offset);
        }
        auto entry = decode_entry(*payload);
        if (!entry) {
            return failure(error_kind::corrupt,
                           fmt::format("file {} is damaged at offset {}: {}", log_path, offset,
                                       entry.error().message_));
        }
        rest.remove_prefix(frame_bytes + payload->size());
        recovered_.entries_.push_back(std::move(*entry));
        ends_.push_back(bytes->size() - rest.size());
    }
    return {};
}

auto replica_store::save_vote(const vote_state& vote) -> result<void>
{
    cbor_writer writer;
    writer.array(2).number(vote.term_).text(vote.voted_for_);
    return files_.replace_(vote_path, frame(writer.take()));
}

auto replica_store::truncate_after(std::uint64_t index) -> result<void>
{
    if (index >= ends_.size()) {
        return {};
    }
    ends_.resize(index);
    return files_.truncate_(log_path, ends_.empty() ? 0 : ends_.back());
}

auto replica_store::append(const std::vector<log_entry>& entries) -> result<void>
{
    if (entries.empty()) {
        return {};
    }
    std::string bytes;
    auto end = ends_.empty() ? 0 : ends_.back();
    std::vector<std::uint64_t> ends;
    for (const auto& entry : entries) {
        bytes += frame(encode_entry(entry));
        ends.push_back(end + bytes.size());
    }
    if (auto written = files_.append_(log_path, bytes); !written) {
        return written;
    }
    ends_.insert(ends_.end(), ends.begin(), ends.end());
    return {};
}

} // namespace sycamorewinch
