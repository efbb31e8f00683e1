#include "server.h"

#include <algorithm>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr auto idle_time = std::chrono::seconds(15);
constexpr auto poll_time = milliseconds(20);
constexpr auto heartbeat_patience = std::chrono::seconds(1);
constexpr auto default_time_allowed = std::chrono::seconds(60);

auto unix_milliseconds() -> std::uint64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

auto make_answer(int status, const std::string& id, const header_fields& fields,
                 const std::string& body) -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    if (!id.empty()) {
        text += "X-Request-Id: " + id + "\r\n";
    }
    for (const auto& [name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

server::server(server_setup setup, record& record, work_of work_of)
    : setup_(std::move(setup)), record_(record), work_of_(std::move(work_of)),
      born_(unix_milliseconds())
{
}

void server::start()
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(setup_.listen_.port_);
    ::inet_pton(AF_INET, setup_.listen_.host_.c_str(), &name.sin_addr);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 ||
        ::listen(listener_, SOMAXCONN) != 0) {
        record_.note("cannot listen at " + setup_.listen_.text());
        return;
    }
    runs_ = true;
    acceptor_ = std::thread([this] { accept_connections(); });
    announcer_ = std::thread([this] { announce_periodically(); });
}

void server::stop()
{
    if (!runs_.exchange(false)) {
        return;
    }
    slot_free_.notify_all();
    acceptor_.join();
    announcer_.join();
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
    ::close(std::exchange(listener_, -1));
}

void server::accept_connections()
{
    while (runs_) {
        pollfd waiting{listener_, POLLIN, 0};
        if (::poll(&waiting, 1, static_cast<int>(poll_time.count())) <= 0) {
            continue;
        }
        const auto accepted = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (accepted >= 0) {
            threads_.emplace_back([this, accepted] {
                connection from(accepted);
                serve(from);
            });
        }
    }
}

void server::announce_periodically()
{
    auto due = clock::now();
    while (runs_) {
        if (announces_ && clock::now() >= due) {
            announce("ready");
            due = clock::now() + setup_.heartbeat_;
        }
        std::this_thread::sleep_for(poll_time);
    }
}

auto server::make_heartbeat(const std::string& state) -> std::string
{
    return "{\"Service\":\"" + setup_.service_ + "\",\"Address\":\"" + setup_.listen_.text() +
           "\",\"Zone\":\"" + setup_.zone_ +
           "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(setup_.slots_) + ",\"State\":\"" +
           state + "\",\"ColdRemainingMs\":0,\"Sequence\":" + std::to_string(++sequence_) +
           ",\"born\":" + std::to_string(born_) + "}";
}

auto server::announce(const std::string& state) -> int
{
    return send_heartbeat(setup_.id_, make_heartbeat(state));
}

auto server::send_heartbeat(const std::string& id, const std::string& body) -> int
{
    request beat{"PUT", "/-/instances/" + id, {}, body};
    beat.fields_ = {{"Host", setup_.control_.text()}, {"Content-Type", "application/json"}};
    const auto answer = exchange(setup_.control_, beat, heartbeat_patience);
    record_.line("heartbeat of " + id.substr(0, 40) + " -> " + std::to_string(answer.status_) +
                 " " + name_of(answer.ending_) + ": " + body.substr(0, 260));
    return answer.is_complete() ? answer.status_ : 0;
}

auto server::withdraw() -> int
{
    request order{"DELETE", "/-/instances/" + setup_.id_, {{"Host", setup_.control_.text()}}, ""};
    const auto answer = exchange(setup_.control_, order, heartbeat_patience);
    record_.line("DELETE of " + setup_.id_ + " -> " + std::to_string(answer.status_) + " " +
                 name_of(answer.ending_));
    return answer.is_complete() ? answer.status_ : 0;
}

void server::serve(connection& from)
{
    while (runs_) {
        auto idle_end = clock::now() + idle_time;
        while (runs_ && clock::now() < idle_end && from.buffered().empty()) {
            const auto found = from.fill(std::min(idle_end, clock::now() + poll_time));
            if (found == connection::readiness::closed) {
                return;
            }
        }
        const auto what = from.buffered().empty() ? std::nullopt : read_request(from, idle_end);
        bool keeps = true;
        if (!what) {
            return;
        }
        const auto answer = run_request(from, *what, keeps);
        if (answer.empty() || !from.write(answer, clock::now() + default_time_allowed) || !keeps) {
            return;
        }
    }
}

auto server::wait_for_slot(connection& from, clock::time_point deadline) -> bool
{
    std::unique_lock lock(mutex_);
    while (runs_ && running_ >= setup_.slots_ && clock::now() < deadline) {
        slot_free_.wait_for(lock, poll_time);
        lock.unlock();
        const bool is_gone = from.closes_before(clock::now());
        lock.lock();
        if (is_gone) {
            return false;
        }
    }
    if (running_ >= setup_.slots_) {
        return false;
    }
    ++running_;
    return true;
}

// Returns the answer, or nothing if the connection is to be closed without one.
auto server::run_request(connection& from, const request& what, bool& keeps) -> std::string
{
    const auto id = field(what.fields_, "X-Request-Id");
    const auto expected = field(what.fields_, "X-Expect-Instance");
    const auto stated_time = field(what.fields_, "X-Deadline-Ms");
    const auto allowed = stated_time.empty()
                             ? std::chrono::duration_cast<milliseconds>(default_time_allowed)
                             : milliseconds(std::atoll(stated_time.c_str()));
    const auto deadline = clock::now() + allowed;
    const auto reject = [&](int status, const std::string& why) {
        record_.line(setup_.id_ + " rejects " + id + " " + what.path_ + ": " + why);
        return make_answer(status, id, {{"X-Not-Executed", "1"}}, "");
    };
    if (what.path_ == "/healthz") {
        return make_answer(200, id, {{"X-Instance-Id", setup_.id_}}, "");
    }
    if (id.empty()) {
        return reject(400, "no id");
    }
    if (!expected.empty() && expected != setup_.id_) {
        return reject(421, "expects " + expected);
    }
    {
        const std::lock_guard guard(mutex_);
        if (running_ >= setup_.slots_ && waiting_ >= setup_.queue_) {
            return reject(503, "full");
        }
        ++waiting_;
    }
    const bool has_slot = wait_for_slot(from, deadline);
    {
        const std::lock_guard guard(mutex_);
        --waiting_;
    }
    if (!has_slot) {
        return reject(503, "deadline passed in the queue");
    }
    const auto todo = work_of_(what);
    std::size_t position = 0;
    {
        const std::lock_guard guard(mutex_);
        position = history_.size();
        history_.push_back({clock::now(), id, what.method_, what.path_,
                            field(what.fields_, "X-Caller-Service"), false});
    }
    record_.line(setup_.id_ + " (" + setup_.service_ + ") runs " + id + " " + what.method_ + " " +
                 what.path_ + ", body " + std::to_string(what.body_.size()) + ", caller " +
                 field(what.fields_, "X-Caller-Service"));
    const auto done = clock::now() + todo.time_;
    const bool is_gone = from.closes_before(std::min(done, deadline));
    const bool is_late = !is_gone && done > deadline;
    {
        const std::lock_guard guard(mutex_);
        --running_;
        history_[position].to_good_end_ = !is_gone && !is_late;
    }
    slot_free_.notify_one();
    if (is_gone) {
        record_.line(setup_.id_ + " drops " + id + ": its connection closed");
        keeps = false;
        return {};
    }
    const header_fields signature{{"X-Response-Signature", setup_.id_ + "." + id}};
    return is_late ? make_answer(504, id, signature, "")
                   : make_answer(200, id, signature,
                                 setup_.service_ + std::string(todo.answer_bytes_, '.'));
}

auto server::runs() -> std::vector<run>
{
    const std::lock_guard guard(mutex_);
    return history_;
}

} // namespace review
