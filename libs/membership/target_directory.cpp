#include "membership/target_directory.h"

namespace sycamorewinch {

auto target_directory::merge(const target_record& record) -> bool
{
    const auto key = std::pair(record.service_, record.target_);
    const auto found = records_.find(key);
    if (found != records_.end() && !is_newer(record, found->second)) {
        return false;
    }
    records_[key] = record;
    return true;
}

auto target_directory::records() const -> std::vector<target_record>
{
    std::vector<target_record> all;
    all.reserve(records_.size());
    for (const auto& [key, record] : records_) {
        all.push_back(record);
    }
    return all;
}

auto target_directory::find(const std::string& service, const std::string& target) const
    -> const target_record*
{
    const auto found = records_.find({service, target});
    return found == records_.end() ? nullptr : &found->second;
}

} // namespace sycamorewinch
