#include "request_path/worker_run_client.h"

#include <QPointer>

namespace sycamorewinch {

void worker_run_client::reserve(const run_record_hooks& hooks, const run_operation& operation,
                                reservation_callback callback)
{
    if (!hooks.reserve_) {
        callback({operation.attempt_, run_verdict::unreachable, {}});
        return;
    }
    pending_callbacks_[operation.attempt_] = std::move(callback);
    // The reply runs on the main thread, which also destroys the workers, so the worker cannot be
    // destroyed between the check and the call.
    const QPointer<QObject> context(&context_);
    hooks.reserve_(operation, [this, context, &hooks, operation](const run_result& result) {
        if (context) {
            QMetaObject::invokeMethod(
                context.data(),
                [this, &hooks, operation, result] { on_result(hooks, operation, result); },
                Qt::QueuedConnection);
        }
    });
}

void worker_run_client::on_result(const run_record_hooks& hooks, run_operation operation,
                                  const run_result& result)
{
    const auto found = pending_callbacks_.find(result.attempt_);
    if (found != pending_callbacks_.end()) {
        const auto callback = std::move(found->second);
        pending_callbacks_.erase(found);
        callback(result);
        return;
    }
    if (result.verdict_ == run_verdict::granted) { // the attempt was abandoned meanwhile
        operation.kind_ = run_operation_kind::release;
        hooks.end_(std::move(operation));
    }
}

} // namespace sycamorewinch
