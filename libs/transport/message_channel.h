/** \file
 * A bidirectional message channel on one HTTP/2 stream. Each message is preceded by its length in
 * 4 bytes, little-endian. A message of more than 64 MiB closes the channel.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "transport/h2_connection.h"

namespace sycamorewinch {

/** Callbacks of a channel. */
struct channel_hooks {
    std::function<void(std::string_view message)> on_message_;
    std::function<void()> on_closed_; ///< Called once; the channel cannot be used any more.
};

/** One end of a channel. */
class message_channel : public std::enable_shared_from_this<message_channel> {
  public:
    /** Client: opens a channel by a POST to \p path with \p extra_headers. */
    [[nodiscard]] static auto open(h2_connection& connection, std::string_view path,
                                   const header_list& extra_headers, channel_hooks hooks)
        -> result<std::shared_ptr<message_channel>>;

    /** Server: accepts the request on \p stream as a channel. Stores in \p stream_hooks_out the
     * hooks that the caller must return from on_request_. */
    [[nodiscard]] static auto accept(const std::shared_ptr<h2_connection>& connection,
                                     stream_id stream, channel_hooks hooks,
                                     stream_hooks& stream_hooks_out)
        -> std::shared_ptr<message_channel>;

    /** Sends a message; does nothing when the channel is closed. */
    void send(std::string_view message);

    /** Returns the number of bytes queued and not yet written to the socket. */
    [[nodiscard]] auto queued_bytes() const -> std::size_t;

    [[nodiscard]] auto is_open() const -> bool { return open_; }

    /** Resets the stream; on_closed_ is called. */
    void close();

  private:
    message_channel(std::weak_ptr<h2_connection> connection, channel_hooks hooks)
        : connection_(std::move(connection)), hooks_(std::move(hooks))
    {
    }

    auto make_stream_hooks() -> stream_hooks;
    void on_data(std::string_view bytes);
    void on_stream_closed();

    std::weak_ptr<h2_connection> connection_;
    channel_hooks hooks_;
    stream_id stream_ = 0;
    std::string incoming_;
    bool open_ = true;
};

} // namespace sycamorewinch
