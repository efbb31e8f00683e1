#include "storage/replica_store.h"

#include <algorithm>

#include <fmt/core.h>

#include "base/digest.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "consensus/log_entry_codec.h"

namespace sycamorewinch {

namespace {

constexpr const char* vote_path = "vote";
constexpr const char* log_path = "log";
constexpr const char* snapshot_path = "snapshot";
constexpr std::string_view header_prefix = "sycamorewinch/";
constexpr unsigned format_version = 2;
constexpr std::size_t max_record_bytes = 1024U * 1024 * 1024;
constexpr std::size_t word_bytes = 8;
constexpr std::size_t frame_header_bytes = 2 * word_bytes; // length and checksum

void append_word(std::string& out, std::uint64_t value)
{
    constexpr unsigned bits_in_byte = 8;
    for (unsigned index = 0; index < word_bytes; ++index) {
        out.push_back(static_cast<char>(value >> (bits_in_byte * index)));
    }
}

auto read_word(std::string_view bytes) -> std::uint64_t
{
    constexpr unsigned bits_in_byte = 8;
    std::uint64_t value = 0;
    for (unsigned index = 0; index < word_bytes; ++index) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[index]))
                 << (bits_in_byte * index);
    }
    return value;
}

auto frame_record(std::string_view payload) -> std::string
{
    std::string out;
    append_word(out, payload.size());
    append_word(out, hash_of(payload, payload.size()));
    out += payload;
    return out;
}

/** Returns the payload of the record at the start of \p bytes. Error corrupt: it is truncated or
 * its checksum does not match. */
auto unframe_record(std::string_view bytes) -> result<std::string_view>
{
    if (bytes.size() < frame_header_bytes) {
        return failure(error_kind::corrupt, "a record is truncated");
    }
    const auto length = read_word(bytes);
    if (length > max_record_bytes || length > bytes.size() - frame_header_bytes) {
        return failure(error_kind::corrupt, "a record is truncated");
    }
    const auto payload = bytes.substr(frame_header_bytes, length);
    if (hash_of(payload, length) != read_word(bytes.substr(word_bytes))) {
        return failure(error_kind::corrupt, "the checksum of a record does not match");
    }
    return payload;
}

auto encode_entry(const log_entry& entry) -> std::string
{
    cbor_writer writer;
    write_entry(writer, entry);
    return writer.take();
}

auto decode_entry(std::string_view bytes) -> result<log_entry>
{
    cbor_reader reader(bytes);
    auto entry = read_entry(reader);
    if (auto done = reader.finish(); !done) {
        return tl::unexpected(done.error());
    }
    return entry;
}

auto make_header(std::string_view path) -> std::string
{
    return fmt::format("{}{}/{}\n", header_prefix, path, format_version);
}

/** Returns \p bytes without the format header of the file \p path. Error corrupt: the header is
 * missing or names another format version. */
auto skip_header(const std::string& path, std::string_view bytes) -> result<std::string_view>
{
    const auto header = make_header(path);
    if (bytes.starts_with(header)) {
        return bytes.substr(header.size());
    }
    const auto line = bytes.substr(0, bytes.find('\n'));
    if (line.starts_with(header_prefix) && line.size() <= header.size()) {
        return failure(error_kind::corrupt,
                       fmt::format("file {} has the format {}; this program reads {}", path, line,
                                   header.substr(0, header.size() - 1)));
    }
    return failure(error_kind::corrupt, fmt::format("file {} is damaged at offset 0: it does not "
                                                    "start with a format header",
                                                    path));
}

/** Returns the payload of a file that holds one record, or an empty string if there is no file. */
auto read_single_record(const file_system& files, const std::string& path) -> result<std::string>
{
    const auto bytes = files.read_(path);
    if (!bytes) {
        return bytes.error().kind_ == error_kind::not_found ? result<std::string>(std::string())
                                                            : tl::unexpected(bytes.error());
    }
    const auto record = skip_header(path, *bytes);
    if (!record) {
        return tl::unexpected(record.error());
    }
    const auto payload = unframe_record(*record);
    if (!payload) {
        return failure(error_kind::corrupt,
                       fmt::format("file {} is damaged at offset {}: {}", path,
                                   bytes->size() - record->size(), payload.error().message_));
    }
    return std::string(*payload);
}

/** Returns whether a complete record with a matching checksum starts anywhere in \p bytes. */
auto contains_valid_record(std::string_view bytes) -> bool
{
    for (std::size_t start = 0; start + frame_header_bytes <= bytes.size(); ++start) {
        if (read_word(bytes.substr(start)) > 0 && unframe_record(bytes.substr(start))) {
            return true;
        }
    }
    return false;
}

} // namespace

auto replica_store::open(file_system files) -> result<replica_store>
{
    replica_store store(std::move(files));
    auto loaded = store.load_vote().and_then([&] { return store.load_snapshot(); }).and_then([&] {
        return store.load_log();
    });
    if (!loaded) {
        return tl::unexpected(loaded.error());
    }
    store.drop_entries_in_snapshot();
    // The snapshot is written first: a log without its snapshot would start after a gap.
    if (auto written = store.replace_snapshot(store.recovered_.snapshot_); !written) {
        return tl::unexpected(written.error());
    }
    if (auto written = store.replace_log(store.recovered_.entries_); !written) {
        return tl::unexpected(written.error());
    }
    if (auto saved = store.save_vote(store.recovered_.vote_); !saved) {
        return tl::unexpected(saved.error());
    }
    return store;
}

auto replica_store::load_vote() -> result<void>
{
    const auto payload = read_single_record(files_, vote_path);
    if (!payload || payload->empty()) {
        return payload ? result<void>() : tl::unexpected(payload.error());
    }
    cbor_reader reader(*payload);
    reader.array(3);
    recovered_.vote_.term_ = reader.number();
    recovered_.vote_.voted_for_ = reader.text();
    recovered_.vote_.is_recovered_ = reader.boolean();
    return reader.finish();
}

auto replica_store::load_snapshot() -> result<void>
{
    const auto payload = read_single_record(files_, snapshot_path);
    if (!payload || payload->empty()) {
        return payload ? result<void>() : tl::unexpected(payload.error());
    }
    cbor_reader reader(*payload);
    reader.array(4);
    recovered_.snapshot_.index_ = reader.number();
    recovered_.snapshot_.term_ = reader.number();
    recovered_.snapshot_.data_ = reader.bytes();
    recovered_.snapshot_.membership_ = reader.bytes();
    return reader.finish();
}

auto replica_store::load_log() -> result<void>
{
    const auto bytes = files_.read_(log_path);
    if (!bytes) {
        return bytes.error().kind_ == error_kind::not_found ? result<void>()
                                                            : tl::unexpected(bytes.error());
    }
    const auto records = skip_header(log_path, *bytes);
    if (!records) {
        return tl::unexpected(records.error());
    }
    auto rest = *records;
    while (!rest.empty()) {
        const auto offset = bytes->size() - rest.size();
        const auto payload = unframe_record(rest);
        // A crash can leave only the last write incomplete. A valid record after the damage means
        // that the disk corrupted data which it had reported as durable.
        if (!payload && !contains_valid_record(rest.substr(1))) {
            return {};
        }
        auto entry = payload.and_then([](auto record) { return decode_entry(record); });
        if (!entry) {
            return failure(error_kind::corrupt,
                           fmt::format("file {} is damaged at offset {}: {}", log_path, offset,
                                       entry.error().message_));
        }
        rest.remove_prefix(frame_header_bytes + payload->size());
        recovered_.entries_.push_back(std::move(*entry));
    }
    return {};
}

void replica_store::drop_entries_in_snapshot()
{
    const auto& snapshot = recovered_.snapshot_;
    auto& entries = recovered_.entries_;
    base_index_ = snapshot.index_;
    if (entries.empty() || entries.front().index_ > snapshot.index_) {
        return;
    }
    const auto at_snapshot = std::ranges::find(entries, snapshot.index_, &log_entry::index_);
    const bool matches = at_snapshot != entries.end() && at_snapshot->term_ == snapshot.term_;
    entries.erase(entries.begin(), matches ? at_snapshot + 1 : entries.end());
}

auto replica_store::save_vote(const vote_state& vote) -> result<void>
{
    cbor_writer writer;
    writer.array(3).number(vote.term_).text(vote.voted_for_).boolean(vote.is_recovered_);
    return files_.replace_(vote_path, make_header(vote_path) + frame_record(writer.take()));
}

auto replica_store::log_bytes() const -> std::uint64_t
{
    return entry_ends_.empty() ? make_header(log_path).size() : entry_ends_.back();
}

auto replica_store::truncate_after(std::uint64_t index) -> result<void>
{
    if (index >= base_index_ + entry_ends_.size()) {
        return {};
    }
    entry_ends_.resize(index - base_index_);
    return files_.truncate_(log_path, log_bytes());
}

auto replica_store::save_snapshot(const log_snapshot& snapshot,
                                  const std::vector<log_entry>& entries) -> result<void>
{
    if (auto written = replace_snapshot(snapshot); !written) {
        return written;
    }
    base_index_ = snapshot.index_;
    return replace_log(entries);
}

auto replica_store::replace_snapshot(const log_snapshot& snapshot) -> result<void>
{
    if (snapshot.index_ == 0) {
        return {};
    }
    cbor_writer writer;
    writer.array(4).number(snapshot.index_).number(snapshot.term_).bytes(snapshot.data_);
    writer.bytes(snapshot.membership_);
    return files_.replace_(snapshot_path, make_header(snapshot_path) + frame_record(writer.take()));
}

auto replica_store::replace_log(const std::vector<log_entry>& entries) -> result<void>
{
    auto bytes = make_header(log_path);
    entry_ends_.clear();
    for (const auto& entry : entries) {
        bytes += frame_record(encode_entry(entry));
        entry_ends_.push_back(bytes.size());
    }
    return files_.replace_(log_path, bytes);
}

auto replica_store::append(const std::vector<log_entry>& entries) -> result<void>
{
    if (entries.empty()) {
        return {};
    }
    std::string bytes;
    const auto end = log_bytes();
    std::vector<std::uint64_t> ends;
    for (const auto& entry : entries) {
        bytes += frame_record(encode_entry(entry));
        ends.push_back(end + bytes.size());
    }
    if (auto written = files_.append_(log_path, bytes); !written) {
        return written;
    }
    entry_ends_.insert(entry_ends_.end(), ends.begin(), ends.end());
    return {};
}

} // namespace sycamorewinch
