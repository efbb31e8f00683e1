#include "event_loop/background_worker.h"

#include <utility>

#include <QThread>

namespace sycamorewinch {

background_worker::background_worker()
    : thread_(std::make_unique<QThread>()), worker_(std::make_unique<QObject>())
{
    worker_->moveToThread(thread_.get());
    thread_->start();
}

background_worker::~background_worker()
{
    thread_->quit();
    thread_->wait();
}

void background_worker::run(std::function<void()> work, std::function<void()> done)
{
    QMetaObject::invokeMethod(
        worker_.get(),
        [this, work = std::move(work), done = std::move(done)] {
            work();
            QMetaObject::invokeMethod(&completions_, done, Qt::QueuedConnection);
        },
        Qt::QueuedConnection);
}

} // namespace sycamorewinch
