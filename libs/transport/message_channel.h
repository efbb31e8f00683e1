/** \file
 * A two-way channel of whole messages on one HTTP/2 stream, each framed by a 4-byte length.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "transport/h2_connection.h"

namespace sycamorewinch {

/** What happens on a channel. */
struct channel_hooks {
    std::function<void(std::string_view message)> on_message_;
    std::function<void()> on_closed_; ///< Called once; the channel is of no more use.
};

/** One end of a channel. */
class message_channel : public std::enable_shared_from_this<message_channel> {
  public:
    /** Client: opens a channel called \p path. */
    [[nodiscard]] static auto open(h2_connection& connection, std::string_view path,
                                   const header_list& extra, channel_hooks hooks)
        -> result<std::shared_ptr<message_channel>>;

    /** Server: accepts the request \p stream as a channel and stores the hooks to return to the
     * connection in \p stream_hooks_out. */
    [[nodiscard]] static auto accept(const std::shared_ptr<h2_connection>& connection,
                                     stream_id stream, channel_hooks hooks,
                                     stream_hooks& stream_hooks_out)
        -> std::shared_ptr<message_channel>;

    /** Sends a message; dropped once the channel is closed. */
    void send(std::string_view message);

    /** Returns the bytes not yet handed to the socket. */
    [[nodiscard]] auto queued_bytes() const -> std::size_t;

    [[nodiscard]] auto is_open() const -> bool { return open_; }

    /** Ends the channel; on_closed_ is called. */
    void close();

  private:
    message_channel(std::weak_ptr<h2_connection> connection, channel_hooks hooks)
        : connection_(std::move(connection)), hooks_(std::move(hooks))
    {
    }

    auto make_stream_hooks() -> stream_hooks;
    void on_bytes(std::string_view bytes);
    void on_gone();

    std::weak_ptr<h2_connection> connection_;
    channel_hooks hooks_;
    stream_id stream_ = 0;
    std::string incoming_;
    bool open_ = true;
};

} // namespace sycamorewinch
