#include "request_path/crash_guard.h"

#include "request_path/unrepeatable_run.h"

namespace sycamorewinch {

crash_guard::crash_guard(std::shared_ptr<const crash_view> view, const crash_report_hook& report,
                         const exchange_request& request)
    : view_(std::move(view)), report_(report),
      head_(hash_head(request.service_, request.head_.method_, request.head_.path_,
                      find_header(request.head_.headers_, idempotency_key_header))),
      target_(request.service_ + "/" + request.target_), has_body_(request.head_.has_body_),
      is_suspect_(view_->is_suspect(head_))
{
}

void crash_guard::on_body(std::string_view bytes)
{
    body_start_ += bytes.substr(0, fingerprint_body_bytes - body_start_.size());
}

auto crash_guard::has_whole_fingerprint() const -> bool
{
    return body_start_.size() == fingerprint_body_bytes;
}

auto crash_guard::must_refuse() const -> bool
{
    return is_suspect_ &&
           view_->crashed_targets(make_fingerprint(head_, body_start_)) >= max_crashed_targets;
}

auto crash_guard::make_record(crash_event event) const -> crash_record
{
    const bool has_crashed = event == crash_event::crashed;
    return {event, head_, make_fingerprint(head_, body_start_),
            has_crashed ? target_ : std::string()};
}

void crash_guard::on_suspected_crash() const
{
    if (report_) {
        report_(make_record(crash_event::crashed));
    }
}

void crash_guard::on_target_responded() const
{
    if (is_suspect_ && report_) {
        report_(make_record(crash_event::answered));
    }
}

} // namespace sycamorewinch
