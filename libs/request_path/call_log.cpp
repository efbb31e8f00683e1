#include "request_path/call_log.h"

#include "observability/log.h"

namespace sycamorewinch {

void log_call(call_event event, const call_facts& facts, std::string_view reason,
              request_outcome outcome)
{
    log_event(log_level::info, call_event_names.name(event),
              {{"request", facts.request_},
               {"route", facts.row_},
               {"service", facts.service_},
               {"priority", facts.priority_},
               {"target", facts.target_},
               {"reason", reason},
               {"outcome", name_of(outcome)},
               {"attempts", facts.attempts_},
               {"reached", facts.reached_},
               {"targets", facts.targets_},
               {"after_ms", to_milliseconds(facts.age_)},
               {"version", facts.version_}});
}

} // namespace sycamorewinch
