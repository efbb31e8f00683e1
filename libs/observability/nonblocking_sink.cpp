#include "observability/nonblocking_sink.h"

#include <climits>
#include <mutex>
#include <string_view>

#include <poll.h>
#include <unistd.h>

#include <fmt/core.h>
#include <spdlog/sinks/base_sink.h>

namespace sycamorewinch {

namespace {

/** A pipe that polls as writable accepts this many bytes without blocking the writer. */
constexpr std::size_t max_line_bytes = PIPE_BUF;

class nonblocking_sink : public spdlog::sinks::base_sink<std::mutex> {
  public:
    explicit nonblocking_sink(int descriptor) : descriptor_(descriptor) {}

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        if (dropped_lines_ > 0 &&
            write(fmt::format("{{\"event\":\"log_lines_lost\",\"level\":\"warning\","
                              "\"lines\":{}}}\n",
                              dropped_lines_))) {
            dropped_lines_ = 0;
        }
        dropped_lines_ += write({line.data(), line.size()}) ? 0 : 1;
    }

    void flush_() override {}

  private:
    [[nodiscard]] auto is_writable() const -> bool
    {
        pollfd request{descriptor_, POLLOUT, 0};
        return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
    }

    auto write(std::string_view line) -> bool
    {
        return line.size() <= max_line_bytes && is_writable() &&
               ::write(descriptor_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    }

    int descriptor_;
    std::uint64_t dropped_lines_ = 0;
};

} // namespace

auto make_nonblocking_sink(int descriptor) -> std::shared_ptr<spdlog::sinks::sink>
{
    return std::make_shared<nonblocking_sink>(descriptor);
}

} // namespace sycamorewinch
