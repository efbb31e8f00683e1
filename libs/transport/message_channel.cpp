#include "transport/message_channel.h"

#include "base/field_limits.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t length_prefix_bytes = 4;
constexpr unsigned bits_in_byte = 8;

auto encode_length(std::size_t length) -> std::string
{
    std::string bytes;
    for (unsigned index = 0; index < length_prefix_bytes; ++index) {
        bytes.push_back(static_cast<char>(length >> (bits_in_byte * index)));
    }
    return bytes;
}

auto decode_length(std::string_view bytes) -> std::size_t
{
    std::size_t length = 0;
    for (unsigned index = 0; index < length_prefix_bytes; ++index) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[index]))
                  << (bits_in_byte * index);
    }
    return length;
}

} // namespace

auto message_channel::open(h2_connection& connection, std::string_view path,
                           const header_list& extra_headers, channel_hooks hooks)
    -> result<std::shared_ptr<message_channel>>
{
    std::shared_ptr<message_channel> channel(
        new message_channel(connection.weak_from_this(), std::move(hooks)));
    header_list headers{{":method", "POST"},
                        {":scheme", "http"},
                        {":authority", "sycamorewinch"},
                        {":path", std::string(path)}};
    headers.insert(headers.end(), extra_headers.begin(), extra_headers.end());
    const auto stream = connection.request(headers, false, channel->make_stream_hooks());
    if (!stream) {
        return tl::unexpected(stream.error());
    }
    channel->stream_ = *stream;
    return channel;
}

auto message_channel::accept(const std::shared_ptr<h2_connection>& connection, stream_id stream,
                             channel_hooks hooks, stream_hooks& stream_hooks_out)
    -> std::shared_ptr<message_channel>
{
    std::shared_ptr<message_channel> channel(new message_channel(connection, std::move(hooks)));
    channel->stream_ = stream;
    stream_hooks_out = channel->make_stream_hooks();
    connection->respond(stream, {{":status", "200"}}, false);
    return channel;
}

auto message_channel::make_stream_hooks() -> stream_hooks
{
    stream_hooks hooks;
    hooks.on_headers_ = [weak = weak_from_this()](const header_list& headers, bool) {
        const auto self = weak.lock();
        if (self && find_header(headers, ":status") != "200") {
            self->close();
        }
    };
    hooks.on_data_ = [weak = weak_from_this()](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            self->on_data(bytes);
        }
    };
    hooks.on_end_ = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->close();
        }
    };
    hooks.on_closed_ = [weak = weak_from_this()](bool) {
        if (const auto self = weak.lock()) {
            self->on_stream_closed();
        }
    };
    return hooks;
}

void message_channel::on_data(std::string_view bytes)
{
    if (const auto connection = connection_.lock()) {
        connection->consume(stream_, bytes.size());
    }
    incoming_ += bytes;
    std::size_t start = 0;
    while (open_ && incoming_.size() - start >= length_prefix_bytes) {
        const auto length = decode_length(std::string_view(incoming_).substr(start));
        if (length > max_message_bytes) {
            close();
            return;
        }
        if (incoming_.size() - start - length_prefix_bytes < length) {
            break;
        }
        const auto message = incoming_.substr(start + length_prefix_bytes, length);
        start += length_prefix_bytes + length;
        hooks_.on_message_(message);
    }
    incoming_.erase(0, start);
}

void message_channel::on_stream_closed()
{
    if (!open_) {
        return;
    }
    open_ = false;
    if (hooks_.on_closed_) {
        hooks_.on_closed_();
    }
}

void message_channel::send(std::string_view message)
{
    const auto connection = connection_.lock();
    if (!open_ || !connection) {
        return;
    }
    auto framed = encode_length(message.size());
    framed += message;
    connection->write(stream_, framed, false);
}

auto message_channel::queued_bytes() const -> std::size_t
{
    const auto connection = connection_.lock();
    return connection ? connection->queued_bytes(stream_) : 0;
}

void message_channel::close()
{
    const auto keep = shared_from_this();
    if (const auto connection = connection_.lock(); open_ && connection) {
        connection->reset(stream_);
    }
    on_stream_closed();
}

} // namespace sycamorewinch
