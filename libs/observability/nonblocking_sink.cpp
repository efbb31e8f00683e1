#include "observability/ready_sink.h"

#include <climits>
#include <mutex>
#include <string_view>

#include <poll.h>
#include <unistd.h>

#include <fmt/core.h>
#include <spdlog/sinks/base_sink.h>

namespace sycamorewinch {

namespace {

/** A pipe that is ready for writing takes this many bytes without holding the writer. */
constexpr std::size_t most_bytes = PIPE_BUF;

class ready_sink : public spdlog::sinks::base_sink<std::mutex> {
  public:
    explicit ready_sink(int descriptor) : descriptor_(descriptor) {}

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        if (lost_ > 0 && write(fmt::format("{{\"event\":\"log_lines_lost\",\"level\":\"warning\","
                                           "\"lines\":{}}}\n",
                                           lost_))) {
            lost_ = 0;
        }
        lost_ += write({line.data(), line.size()}) ? 0 : 1;
    }

    void flush_() override {}

  private:
    [[nodiscard]] auto is_ready() const -> bool
    {
        pollfd question{descriptor_, POLLOUT, 0};
        return poll(&question, 1, 0) == 1 && (question.revents & POLLOUT) != 0;
    }

    auto write(std::string_view line) -> bool
    {
        return line.size() <= most_bytes && is_ready() &&
               ::write(descriptor_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    }

    int descriptor_;
    std::uint64_t lost_ = 0;
};

} // namespace

auto make_ready_sink(int descriptor) -> std::shared_ptr<spdlog::sinks::sink>
{
    return std::make_shared<ready_sink>(descriptor);
}

} // namespace sycamorewinch
