/** \file
 * Records what Qt logs, for tests of code that must not cause warnings.
 *
 * \code
 * const recorded_qt_messages messages;
 * close_connection();
 * BOOST_TEST(messages.text() == "");
 * \endcode
 */
#pragma once

#include <string>

#include <QtGlobal>

namespace sycamorewinch {

/** Records all messages of Qt's logging, of all threads, while it exists. At most one exists at a
 * time. */
class recorded_qt_messages {
  public:
    recorded_qt_messages();
    recorded_qt_messages(const recorded_qt_messages&) = delete;
    auto operator=(const recorded_qt_messages&) -> recorded_qt_messages& = delete;
    recorded_qt_messages(recorded_qt_messages&&) = delete;
    auto operator=(recorded_qt_messages&&) -> recorded_qt_messages& = delete;
    ~recorded_qt_messages();

    /** Returns the messages so far, one per line. */
    [[nodiscard]] auto text() const -> std::string;

  private:
    QtMessageHandler previous_;
};

} // namespace sycamorewinch
