/** \file
 * All targets that one process knows of, merged from announcements that may be late or crossed.
 */
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/target_record.h"

namespace sycamorewinch {

/** The known targets by service and name. */
class target_directory {
  public:
    /** Takes \p record if it is news; returns whether it was. */
    auto merge(const target_record& record) -> bool;

    /** Returns every record, the gone ones included. */
    [[nodiscard]] auto records() const -> std::vector<target_record>;

    /** Returns the record of one target, or nullptr. */
    [[nodiscard]] auto find(const std::string& service, const std::string& target) const
        -> const target_record*;

  private:
    std::map<std::pair<std::string, std::string>, target_record> records_;
};

} // namespace sycamorewinch
