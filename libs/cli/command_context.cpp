#include "cli/command_context.h"

#include <ostream>

#include <QJsonDocument>

namespace sycamorewinch {

namespace {

constexpr int http_ok = 200;

} // namespace

auto fail(command_context& context, const std::string& message, exit_status status) -> exit_status
{
    context.errors_ << "sycamorewinch: " << message << '\n';
    return status;
}

void print_json(command_context& context, const QJsonObject& object)
{
    context.out_ << QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() << '\n';
    context.out_.flush();
}

auto fetch(command_context& context, const std::string& path) -> result<QJsonObject>
{
    const auto response = context.client_.get(path);
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->status_ != http_ok) {
        return failure(error_kind::unavailable, text_of(response->body_, "message"));
    }
    return response->body_;
}

auto json_text(const std::string& text) -> QString
{
    return QString::fromStdString(text);
}

auto text_of(const QJsonObject& object, const char* name) -> std::string
{
    return object.value(QLatin1String(name)).toString().toStdString();
}

auto number_of(const QJsonObject& object, const char* name) -> std::int64_t
{
    return object.value(QLatin1String(name)).toInteger();
}

} // namespace sycamorewinch
