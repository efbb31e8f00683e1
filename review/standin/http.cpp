#include "http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr auto connect_time = std::chrono::seconds(1);
constexpr std::size_t read_size = 64UL * 1024;

auto equal_ignoring_case(std::string_view one, std::string_view other) -> bool
{
    return std::ranges::equal(one, other, [](unsigned char left, unsigned char right) {
        return std::tolower(left) == std::tolower(right);
    });
}

auto milliseconds_until(clock::time_point deadline) -> int
{
    const auto left = std::chrono::ceil<milliseconds>(deadline - clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

/** A message's head, split into its first line and its fields. */
struct parsed_head {
    std::string first_line_;
    header_fields fields_;
};

auto parse_head(std::string_view text) -> parsed_head
{
    parsed_head head;
    bool is_first = true;
    while (!text.empty()) {
        const auto end = text.find("\r\n");
        const auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 2);
        if (std::exchange(is_first, false)) {
            head.first_line_ = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string_view::npos) {
            auto value = line.substr(colon + 1);
            value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
            head.fields_.emplace_back(line.substr(0, colon), value);
        }
    }
    return head;
}

/** Reads up to the end of a head. */
auto read_head(connection& from, clock::time_point deadline, connection::readiness& last)
    -> std::optional<parsed_head>
{
    for (;;) {
        auto& buffer = from.buffered();
        const auto end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            auto head = parse_head(std::string_view(buffer).substr(0, end));
            buffer.erase(0, end + 4);
            return head;
        }
        last = from.fill(deadline);
        if (last != connection::readiness::bytes) {
            return std::nullopt;
        }
    }
}

auto read_exactly(connection& from, std::size_t count, std::string& into,
                  clock::time_point deadline, connection::readiness& last) -> bool
{
    for (;;) {
        auto& buffer = from.buffered();
        const auto taken = std::min(count, buffer.size());
        into.append(buffer, 0, taken);
        buffer.erase(0, taken);
        count -= taken;
        if (count == 0) {
            return true;
        }
        last = from.fill(deadline);
        if (last != connection::readiness::bytes) {
            return false;
        }
    }
}

auto read_line(connection& from, clock::time_point deadline, connection::readiness& last)
    -> std::optional<std::string>
{
    for (;;) {
        auto& buffer = from.buffered();
        const auto end = buffer.find("\r\n");
        if (end != std::string::npos) {
            auto line = buffer.substr(0, end);
            buffer.erase(0, end + 2);
            return line;
        }
        last = from.fill(deadline);
        if (last != connection::readiness::bytes) {
            return std::nullopt;
        }
    }
}

/** Reads a body with a length or in chunks; returns false if it did not end. */
auto read_body(connection& from, const header_fields& fields, std::string& body,
               clock::time_point deadline, connection::readiness& last) -> bool
{
    if (field(fields, "transfer-encoding") == "chunked") {
        for (;;) {
            const auto line = read_line(from, deadline, last);
            if (!line) {
                return false;
            }
            const auto size = std::strtoul(line->c_str(), nullptr, 16);
            if (size > 0 && !read_exactly(from, size, body, deadline, last)) {
                return false;
            }
            if (!read_line(from, deadline, last)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }
    const auto length = field(fields, "content-length");
    const auto count = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    return count == 0 || read_exactly(from, count, body, deadline, last);
}

} // namespace

auto field(const header_fields& fields, std::string_view name) -> std::string
{
    const auto found = std::ranges::find_if(
        fields, [name](const auto& each) { return equal_ignoring_case(each.first, name); });
    return found == fields.end() ? std::string() : found->second;
}

auto name_of(ending how) -> const char*
{
    constexpr std::array names{"complete", "not connected", "closed without an answer",
                               "broken off", "timed out"};
    return names.at(static_cast<std::size_t>(how));
}

auto connection::operator=(connection&& other) noexcept -> connection&
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(buffer_, other.buffer_);
    return *this;
}

auto connection::dial(const address& to, int receive_buffer) -> connection
{
    connection made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (receive_buffer > 0) {
        ::setsockopt(made.descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof(receive_buffer));
    }
    const int no_delay = 1;
    ::setsockopt(made.descriptor_, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(to.port_);
    ::inet_pton(AF_INET, to.host_.c_str(), &name.sin_addr);
    const auto deadline = clock::now() + connect_time;
    if (::connect(made.descriptor_, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) {
        pollfd waiting{made.descriptor_, POLLOUT, 0};
        int problem = 0;
        socklen_t size = sizeof(problem);
        if (errno != EINPROGRESS || ::poll(&waiting, 1, milliseconds_until(deadline)) != 1 ||
            ::getsockopt(made.descriptor_, SOL_SOCKET, SO_ERROR, &problem, &size) != 0 ||
            problem != 0) {
            made.close();
        }
    }
    return made;
}

void connection::close()
{
    if (descriptor_ >= 0) {
        ::close(std::exchange(descriptor_, -1));
    }
    buffer_.clear();
}

void connection::reset()
{
    const ::linger at_once{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close();
}

auto connection::write(std::string_view bytes, clock::time_point deadline) -> bool
{
    while (!bytes.empty()) {
        const auto count =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        pollfd waiting{descriptor_, POLLOUT, 0};
        if ((errno != EAGAIN && errno != EINTR) ||
            ::poll(&waiting, 1, milliseconds_until(deadline)) <= 0) {
            return false;
        }
    }
    return true;
}

auto connection::fill(clock::time_point deadline) -> readiness
{
    pollfd waiting{descriptor_, POLLIN, 0};
    if (::poll(&waiting, 1, milliseconds_until(deadline)) <= 0) {
        return readiness::timeout;
    }
    const auto before = buffer_.size();
    buffer_.resize(before + read_size);
    const auto count = ::recv(descriptor_, buffer_.data() + before, read_size, MSG_DONTWAIT);
    buffer_.resize(before + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return count > 0 ? readiness::bytes : readiness::closed;
}

auto connection::closes_before(clock::time_point deadline) -> bool
{
    for (;;) {
        pollfd waiting{descriptor_, POLLIN | POLLRDHUP, 0};
        if (::poll(&waiting, 1, milliseconds_until(deadline)) <= 0) {
            return false;
        }
        if ((waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0 ||
            fill(deadline) != readiness::bytes) {
            return true;
        }
    }
}

auto head_of(const request& what) -> std::string
{
    auto head = what.method_ + " " + what.path_ + " HTTP/1.1\r\n";
    for (const auto& [name, value] : what.fields_) {
        head += name + ": " + value + "\r\n";
    }
    if (!what.body_.empty()) {
        head += "Content-Length: " + std::to_string(what.body_.size()) + "\r\n";
    }
    return head + "\r\n";
}

auto exchange(connection& to, const request& what, clock::time_point deadline) -> response
{
    const auto began = clock::now();
    response answer;
    const auto end = [&](ending how) {
        answer.ending_ = how;
        answer.elapsed_ = std::chrono::duration_cast<milliseconds>(clock::now() - began);
        return answer;
    };
    if (!to.is_open()) {
        return end(ending::not_connected);
    }
    // An answer may come before the end of the request, so a failed write is no end.
    static_cast<void>(to.write(head_of(what) + what.body_, deadline));
    auto last = connection::readiness::bytes;
    const auto how_broken = [&last](ending closed) {
        return last == connection::readiness::timeout ? ending::timed_out : closed;
    };
    auto head = read_head(to, deadline, last);
    while (head && head->first_line_.find(" 100 ") != std::string::npos) {
        head = read_head(to, deadline, last);
    }
    if (!head) {
        return end(
            how_broken(to.buffered().empty() ? ending::closed_without_answer : ending::broken_off));
    }
    const auto space = head->first_line_.find(' ');
    answer.status_ = std::atoi(head->first_line_.c_str() + std::min(space, std::size_t{8}));
    answer.fields_ = std::move(head->fields_);
    if (!read_body(to, answer.fields_, answer.body_, deadline, last)) {
        return end(how_broken(ending::broken_off));
    }
    return end(ending::complete);
}

auto exchange(const address& to, const request& what, milliseconds patience) -> response
{
    const auto deadline = clock::now() + patience;
    auto fresh = connection::dial(to);
    return exchange(fresh, what, deadline);
}

auto read_request(connection& from, clock::time_point deadline) -> std::optional<request>
{
    auto last = connection::readiness::bytes;
    auto head = read_head(from, deadline, last);
    if (!head) {
        return std::nullopt;
    }
    request read;
    const auto first = head->first_line_.find(' ');
    const auto second = head->first_line_.rfind(' ');
    read.method_ = head->first_line_.substr(0, first);
    read.path_ = second > first ? head->first_line_.substr(first + 1, second - first - 1) : "";
    read.fields_ = std::move(head->fields_);
    if (!read_body(from, read.fields_, read.body_, deadline, last)) {
        return std::nullopt;
    }
    return read;
}

} // namespace review
