#include "fake_control.h"

#include <sstream>

#include <QJsonArray>
#include <QJsonDocument>
#include <QTcpSocket>

#include "cli/table_output.h"
#include "table/table_csv.h"

namespace sycamorewinch::testing {

namespace {

void ensure_application()
{
    static int count = 1;
    static std::string name = "cli_test";
    static char* arguments[] = {name.data(), nullptr};
    static const QCoreApplication application(count, arguments);
}

auto to_json_text(const QJsonObject& object) -> std::string
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

/** Returns the length of the complete request at the front of \p bytes, or 0 if incomplete. */
auto complete_request_length(const QByteArray& bytes) -> qsizetype
{
    const auto head_length = bytes.indexOf("\r\n\r\n");
    if (head_length < 0) {
        return 0;
    }
    const auto lower_case_head = bytes.left(head_length).toLower();
    const auto field_start = lower_case_head.indexOf("content-length: ");
    const auto body_length =
        field_start < 0 ? 0
                        : lower_case_head
                              .mid(field_start + 16,
                                   lower_case_head.indexOf('\r', field_start) - field_start - 16)
                              .toInt();
    const auto length = head_length + 4 + body_length;
    return bytes.size() >= length ? length : 0;
}

} // namespace

fake_control::fake_control() : current_(make_table(0, {}))
{
    ensure_application();
    server_.listen(QHostAddress::LocalHost, 0);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
        while (auto* socket = server_.nextPendingConnection()) {
            read_request(*socket);
        }
    });
}

auto fake_control::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(server_.serverPort());
}

void fake_control::accept(std::vector<row> rows)
{
    current_ = make_table(current_.version_.number_ + 1, std::move(rows));
}

void fake_control::read_request(QTcpSocket& socket)
{
    const auto bytes = std::make_shared<QByteArray>();
    QObject::connect(&socket, &QTcpSocket::readyRead, &socket, [this, &socket, bytes] {
        *bytes += socket.readAll();
        if (const auto length = complete_request_length(*bytes); length > 0) {
            const auto path = bytes->left(bytes->indexOf('\r')).split(' ').at(1).toStdString();
            const auto body_start = bytes->indexOf("\r\n\r\n") + 4;
            handle_request(socket, path, bytes->mid(body_start, length - body_start).toStdString());
        }
    });
}

void fake_control::handle_request(QTcpSocket& socket, const std::string& path,
                                  const std::string& body)
{
    const auto response_to_send = respond_to(path, body);
    if (drops_accept_responses_ && path == "/v1/table/accept") {
        socket.abort();
        return;
    }
    const auto head = "HTTP/1.1 " + std::to_string(response_to_send.status_) +
                      " x\r\nConnection: close\r\nContent-Length: " +
                      std::to_string(response_to_send.body_.size()) + "\r\n\r\n";
    socket.write(QByteArray::fromStdString(head + response_to_send.body_));
    socket.disconnectFromHost();
}

auto fake_control::respond_to(const std::string& path, const std::string& body) -> response
{
    if (path == "/metrics") {
        return {200, metrics_};
    }
    if (!is_leader_) {
        return {503, to_json_text({{"message", "this replica does not lead"}})};
    }
    if (path == "/v1/table") {
        return {200, to_json_text({{"version", json_of(current_.version_)},
                                   {"csv", json_text(write_csv(current_.rows_))}})};
    }
    if (path == "/v1/progress") {
        return {200, to_json_text(progress_)};
    }
    if (path == "/v1/rollouts" && body.empty()) {
        return {200, to_json_text(rollouts_)};
    }
    if (path == "/v1/rollouts") {
        rollout_order_ = body;
        return {rollout_status_, to_json_text({{"message", "another roll-out is running"}})};
    }
    if (path == "/v1/targets") {
        const QJsonObject target{{"service", "a"},
                                 {"target", "a1"},
                                 {"state", "up"},
                                 {"node", "127.0.0.1:1"},
                                 {"admin", json_text(address())}};
        return {200, to_json_text({{"targets", QJsonArray{target}}})};
    }
    if (path == "/v1/table/accept") {
        ++accept_request_count_;
        return respond_to_accept(QJsonDocument::fromJson(QByteArray::fromStdString(body)).object());
    }
    return {404, to_json_text({{"message", "unknown path"}})};
}

auto fake_control::respond_to_accept(const QJsonObject& edit) -> response
{
    if (pending_responses_ > 0) {
        --pending_responses_;
        return {202, to_json_text({{"status", "pending"}})};
    }
    const auto id = text_of(edit, "edit_id");
    if (outcomes_.contains(id)) {
        return outcomes_[id];
    }
    const auto base = edit.value(QLatin1String("base")).toObject();
    if (base != json_of(current_.version_)) {
        return outcomes_[id] = {409, to_json_text({{"status", "conflict"}})};
    }
    accept(*read_csv(text_of(edit, "csv")));
    return outcomes_[id] = {200, to_json_text({{"status", "accepted"},
                                               {"version", json_of(current_.version_)}})};
}

test_operator::test_operator(const std::vector<std::string>& addresses)
    : client_({.addresses_ = addresses, .total_timeout_ = std::chrono::milliseconds(200)})
{
}

auto test_operator::run(const command_words& words, const command_options& options) -> exit_status
{
    std::ostringstream out;
    std::ostringstream errors;
    command_context context{client_, out, errors, false, "ann", options};
    const auto status = run_command(context, words);
    out_ = out.str();
    errors_ = errors.str();
    return status;
}

auto test_operator::path(const std::string& name) const -> std::string
{
    return directory_.filePath(QString::fromStdString(name)).toStdString();
}

auto test_operator::printed(const std::string& text) const -> bool
{
    return (out_ + errors_).find(text) != std::string::npos;
}

auto make_row(const std::string& service, std::uint32_t rate) -> row
{
    row new_row{.service_ = service, .path_prefix_ = "/" + service};
    new_row.default_limit_ = {rate, 1, 0};
    new_row.timeout_ = std::chrono::milliseconds(500);
    return new_row;
}

} // namespace sycamorewinch::testing
