/** \file
 * Typed access to raw settings. The reader records an error for the first invalid setting.
 */
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options/variables_map.hpp>

#include "settings/daemon_settings.h"

namespace sycamorewinch::internal {

/** Reads and checks the raw values of all settings, from the arguments, the environment
 * or the file. The value returned for an invalid setting must not be used: check first_error()
 * after the last read.
 */
class settings_reader {
  public:
    explicit settings_reader(const boost::program_options::variables_map& values) : values_(values)
    {
    }

    /** Returns a required string. */
    auto text(const std::string& name) -> std::string;
    /** Returns a string, or an empty one if the setting is not set. */
    auto optional_text(const std::string& name) -> std::string;
    /** Returns a required name: at most 64 bytes of printable ASCII without `;`, `=`, `,` or `"`.
     */
    auto name(const std::string& setting) -> std::string;
    /** Returns a required address `IP:PORT`. */
    auto address(const std::string& name) -> peer_address;
    /** Returns a list `NAME=IP:PORT,...`; empty if the setting is not set. */
    auto peers(const std::string& name) -> std::vector<control_peer>;
    /** Returns a list `IP:PORT,...`; empty if the setting is not set. */
    auto addresses(const std::string& name) -> std::vector<peer_address>;
    /** Returns a required integer from \p minimum to \p maximum. */
    auto number(const std::string& name, unsigned maximum, unsigned minimum = 1) -> unsigned;

    /** Returns true for `yes` or `true`, false for `no` or `false`. */
    auto boolean(const std::string& name) -> bool;
    /** Returns a duration given as a whole number of milliseconds from 1 to \p maximum. */
    auto milliseconds(const std::string& name, unsigned maximum) -> std::chrono::milliseconds;
    /** Returns a duration given in seconds, whole or with a decimal fraction, from 0 to \p maximum;
     * zero if the setting is not set. */
    auto optional_seconds(const std::string& name, double maximum) -> std::chrono::milliseconds;
    /** Returns an address, or nothing when it is not set. */
    auto optional_address(const std::string& name) -> std::optional<peer_address>;

    /** Records that \p value is invalid, unless an earlier error is recorded; \p requirement says
     * what the setting accepts. */
    void reject(std::string_view name, std::string_view value, std::string_view requirement);
    [[nodiscard]] auto first_error() const -> const std::optional<error>& { return first_error_; }

  private:
    [[nodiscard]] auto is_set(const std::string& name) const -> bool;
    auto parse_address(const std::string& name, const std::string& value) -> peer_address;

    const boost::program_options::variables_map& values_;
    std::optional<error> first_error_;
};

} // namespace sycamorewinch::internal
