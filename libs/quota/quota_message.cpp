#include "quota/quota_message.h"

#include <algorithm>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t ask_fields = 7;
constexpr std::size_t grant_fields = 3;
/** Bounds the numbers of a message, so that sums of them do not overflow. */
constexpr std::uint64_t max_tokens = 1'000'000'000;
constexpr std::uint64_t max_milliseconds = 3'600'000;

auto read_tokens(cbor_reader& reader) -> std::uint64_t
{
    return std::min(reader.number(), max_tokens);
}

auto read_milliseconds(cbor_reader& reader) -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(std::min(reader.number(), max_milliseconds));
}

auto write_milliseconds(std::chrono::milliseconds value) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0));
}

} // namespace

auto encode(const quota_ask& ask) -> std::string
{
    cbor_writer writer;
    writer.array(ask_fields).text(ask.organisation_).number(ask.needed_).number(ask.ahead_);
    writer.number(ask.returned_).number(ask.limit_.rate_thousandths_).number(ask.limit_.burst_);
    writer.boolean(ask.is_forwarded_);
    return writer.take();
}

auto encode(const quota_grant& grant) -> std::string
{
    cbor_writer writer;
    writer.array(grant_fields).number(grant.tokens_);
    writer.number(write_milliseconds(grant.lifetime_));
    writer.number(write_milliseconds(grant.retry_after_));
    return writer.take();
}

auto decode_quota_ask(std::string_view bytes) -> result<quota_ask>
{
    cbor_reader reader(bytes);
    quota_ask ask;
    reader.array(ask_fields);
    ask.organisation_ = reader.text();
    ask.needed_ = read_tokens(reader);
    ask.ahead_ = read_tokens(reader);
    ask.returned_ = read_tokens(reader);
    ask.limit_.rate_thousandths_ = reader.number();
    ask.limit_.burst_ = reader.number();
    ask.is_forwarded_ = reader.boolean();
    if (auto end = reader.finish(); !end) {
        return tl::unexpected(end.error());
    }
    return ask;
}

auto decode_quota_grant(std::string_view bytes) -> result<quota_grant>
{
    cbor_reader reader(bytes);
    quota_grant grant;
    reader.array(grant_fields);
    grant.tokens_ = read_tokens(reader);
    grant.lifetime_ = read_milliseconds(reader);
    grant.retry_after_ = read_milliseconds(reader);
    if (auto end = reader.finish(); !end) {
        return tl::unexpected(end.error());
    }
    return grant;
}

} // namespace sycamorewinch
