#include "standin/captured_output.h"

#include <iostream>

#include <unistd.h>

#include <QTemporaryFile>

#include "base/invariant.h"

namespace sycamorewinch {

auto capture_standard_output(const std::function<void()>& run) -> QByteArray
{
    QTemporaryFile file;
    invariant(file.open(), "cannot create a file for the captured output");
    std::cout.flush();
    const int saved_descriptor = ::dup(STDOUT_FILENO);
    invariant(::dup2(file.handle(), STDOUT_FILENO) >= 0, "cannot redirect standard output");
    run();
    std::cout.flush();
    invariant(::dup2(saved_descriptor, STDOUT_FILENO) >= 0, "cannot restore standard output");
    ::close(saved_descriptor);
    QFile output_file(file.fileName());
    invariant(output_file.open(QIODevice::ReadOnly), "cannot read the captured output");
    return output_file.readAll();
}

} // namespace sycamorewinch
