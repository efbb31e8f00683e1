#include "policy/organisation_state.h"

namespace sycamorewinch {

void organisation_state::count_call()
{
    const auto resolve = [this]() -> counter& {
        return registry_.count("sycamorewinch_organisation_calls_total",
                               "Calls that presented a key of the organisation.",
                               {{"organisation", label_}});
    };
    calls_.get(resolve).add();
}

void organisation_state::count_refusal(refusal_reason reason)
{
    const auto resolve = [this, reason]() -> counter& {
        return registry_.count("sycamorewinch_organisation_refusals_total",
                               "Refused calls of the organisation, by reason.",
                               {{"organisation", label_}, {"reason", name_of(reason)}});
    };
    refusals_.at(static_cast<std::size_t>(reason)).get(resolve).add();
}

auto organisation_states::of(const std::string& name) -> std::shared_ptr<organisation_state>
{
    if (const auto found = states_.find(name); found != states_.end()) {
        return found->second;
    }
    if (states_.size() >= max_measured_organisations) {
        if (!other_) {
            other_ = std::make_shared<organisation_state>(registry_, "other");
        }
        return other_;
    }
    return states_.emplace(name, std::make_shared<organisation_state>(registry_, name))
        .first->second;
}

} // namespace sycamorewinch
