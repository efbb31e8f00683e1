#include "request_path/call_log.h"

#include "observability/log.h"

namespace sycamorewinch {

void log_call(call_event event, const call_log_fields& fields, std::string_view reason,
              request_outcome outcome)
{
    log_event(log_level::info, call_event_names.name(event),
              {{"request", fields.request_},
               {"route", fields.row_},
               {"service", fields.service_},
               {"organisation", fields.organisation_},
               {"priority", fields.priority_},
               {"target", fields.target_},
               {"reason", reason},
               {"outcome", name_of(outcome)},
               {"attempts", fields.attempts_},
               {"reached", fields.reached_},
               {"targets", fields.targets_},
               {"after_ms", to_milliseconds(fields.age_)},
               {"allowed_ms", to_milliseconds(fields.time_allowed_)},
               {"version", fields.version_}});
}

} // namespace sycamorewinch
