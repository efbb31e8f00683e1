/** \file
 * Reads raw settings one by one into typed values; the first wrong one is kept as the error.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options/variables_map.hpp>

#include "settings/daemon_settings.h"

namespace sycamorewinch::internal {

/** Typed access to the values of one command line. */
class settings_reader {
  public:
    explicit settings_reader(const boost::program_options::variables_map& values) : values_(values)
    {
    }

    /** Returns a text that must be given. */
    auto text(const std::string& name) -> std::string;
    /** Returns a text, or an empty one when it is not given. */
    auto optional_text(const std::string& name) -> std::string;
    /** Returns a text of at most 64 bytes that must be given. */
    auto name(const std::string& setting) -> std::string;
    auto address(const std::string& name) -> peer_address;
    /** Returns a list `NAME=IP:PORT,...`. */
    auto peers(const std::string& name) -> std::vector<control_peer>;
    /** Returns a list `IP:PORT,...`. */
    auto addresses(const std::string& name) -> std::vector<peer_address>;
    /** Returns a whole number from \p least to \p largest. */
    auto count(const std::string& name, unsigned largest, unsigned least = 1) -> unsigned;

    /** Returns whether a setting is `yes` (or `true`) rather than `no` (or `false`). */
    auto yes_no(const std::string& name) -> bool;
    /** Returns a span of whole milliseconds from 1 to \p largest. */
    auto milliseconds(const std::string& name, unsigned largest) -> std::chrono::milliseconds;
    /** Returns an address, or nothing when it is not given. */
    auto optional_address(const std::string& name) -> std::optional<peer_address>;

    /** Notes a wrong setting, unless one was noted before. */
    void refuse(std::string_view name, std::string_view value, std::string_view allowed);
    [[nodiscard]] auto problem() const -> const std::optional<error>& { return problem_; }

  private:
    [[nodiscard]] auto has(const std::string& name) const -> bool;
    auto parse_address(const std::string& name, const std::string& value) -> peer_address;

    const boost::program_options::variables_map& values_;
    std::optional<error> problem_;
};

} // namespace sycamorewinch::internal
