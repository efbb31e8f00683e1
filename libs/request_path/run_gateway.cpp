#include "request_path/run_gateway.h"

#include <QPointer>

namespace sycamorewinch {

void run_gateway::reserve(const run_record_hooks& port, const run_operation& operation,
                          run_callback callback)
{
    if (!port.reserve_) {
        callback({operation.attempt_, run_verdict::unreachable, {}});
        return;
    }
    waiting_[operation.attempt_] = std::move(callback);
    // The main thread ends the workers itself, so that the check and the call cannot race with it.
    const QPointer<QObject> context(&context_);
    port.reserve_(operation, [this, context, &port, operation](const run_result& result) {
        if (context) {
            QMetaObject::invokeMethod(
                context.data(),
                [this, &port, operation, result] { on_result(port, operation, result); },
                Qt::QueuedConnection);
        }
    });
}

void run_gateway::on_result(const run_record_hooks& port, run_operation operation,
                            const run_result& result)
{
    const auto found = waiting_.find(result.attempt_);
    if (found != waiting_.end()) {
        const auto callback = std::move(found->second);
        waiting_.erase(found);
        callback(result);
        return;
    }
    if (result.verdict_ == run_verdict::granted) { // the caller went away meanwhile
        operation.kind_ = run_operation_kind::release;
        port.end_(std::move(operation));
    }
}

} // namespace sycamorewinch
