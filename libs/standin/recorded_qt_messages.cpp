#include "standin/recorded_qt_messages.h"

#include <mutex>

#include <QString>

namespace sycamorewinch {

namespace {

/** The messages, outside the class because Qt's handler is a function without state. */
struct message_record {
    std::mutex mutex_;
    std::string text_; ///< Guarded by mutex_.
};

auto recorded_messages() -> message_record&
{
    static message_record record;
    return record;
}

void record_message(QtMsgType /*type*/, const QMessageLogContext& /*context*/, const QString& text)
{
    auto& record = recorded_messages();
    const std::lock_guard guard(record.mutex_);
    record.text_ += text.toStdString() + "\n";
}

} // namespace

recorded_qt_messages::recorded_qt_messages()
{
    auto& record = recorded_messages();
    const std::lock_guard guard(record.mutex_);
    record.text_.clear();
    previous_ = qInstallMessageHandler(record_message);
}

recorded_qt_messages::~recorded_qt_messages()
{
    qInstallMessageHandler(previous_);
}

auto recorded_qt_messages::text() const -> std::string
{
    auto& record = recorded_messages();
    const std::lock_guard guard(record.mutex_);
    return record.text_;
}

} // namespace sycamorewinch
