#include <QTemporaryFile>
#include <boost/test/unit_test.hpp>

#include "settings/daemon_settings.h"

using namespace sycamorewinch;

namespace {

const std::vector<std::string> valid_arguments{"--role=node",
                                               "--name=node-1",
                                               "--zone=zone-a",
                                               "--listen-peers=127.0.0.1:7001",
                                               "--listen-callers=127.0.0.1:7002",
                                               "--listen-admin=127.0.0.1:7003",
                                               "--upstreams=127.0.0.1:7000"};

auto no_environment(const std::string&) -> std::optional<std::string>
{
    return std::nullopt;
}

/** Returns the error message for the valid arguments with \p changed replaced or added, or
 * "accepted". */
auto message_with(const std::string& changed) -> std::string
{
    const auto name = changed.substr(0, changed.find('='));
    std::vector<std::string> arguments;
    for (const auto& argument : valid_arguments) {
        if (!argument.starts_with(name + "=")) {
            arguments.push_back(argument);
        }
    }
    arguments.push_back(changed);
    const auto parsed = parse_daemon_settings(arguments, no_environment);
    return parsed ? "accepted" : parsed.error().message_;
}

/** Returns the grace period read from a settings file with \p value, or -1 ms if it is refused. */
auto shutdown_grace_of(const std::string& value) -> std::chrono::milliseconds
{
    QTemporaryFile file;
    BOOST_REQUIRE(file.open());
    file.write(("shutdown-grace-s = " + value + "\n").c_str());
    file.close();
    auto arguments = valid_arguments;
    arguments.push_back("--settings-file=" + file.fileName().toStdString());
    const auto parsed = parse_daemon_settings(arguments, no_environment);
    return parsed ? parsed->settings_.shutdown_grace_ : std::chrono::milliseconds(-1);
}

} // namespace

BOOST_AUTO_TEST_CASE(valid_settings_are_read)
{
    const auto parsed = parse_daemon_settings(valid_arguments, no_environment);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->settings_.listen_callers_->port_ == 7002);
}

BOOST_AUTO_TEST_CASE(an_error_names_the_setting_its_value_and_what_is_allowed)
{
    BOOST_TEST(message_with("--role=boss") ==
               "setting role: 'boss' is not allowed: must be control, relay or node");
    BOOST_TEST(message_with("--workers=0") ==
               "setting workers: '0' is not allowed: must be an integer from 1 to 256");
    BOOST_TEST(message_with("--listen-callers=localhost:1").find("listen-callers") !=
               std::string::npos);
    BOOST_TEST(message_with("--listen-peers=10.0.0.1:1") ==
               "setting listen-peers: '10.0.0.1:1' is not allowed: must be a loopback address "
               "without cluster-key-file");
    BOOST_TEST(message_with("--frobnicate=1").find("frobnicate") != std::string::npos);
    BOOST_TEST(message_with("--upstreams=").find("upstreams") != std::string::npos);
    BOOST_TEST(message_with("--zone=a;b").find("setting zone: 'a;b'") == 0);
    BOOST_TEST(message_with("--listen-admin=127.0.0.1:7001").find("setting listen-admin") == 0);
    BOOST_TEST(message_with("--listen-callers=127.0.0.1:7003").find("setting listen-callers") == 0);
    BOOST_TEST(message_with("--work=2").find("--work") !=
               std::string::npos); // abbreviated flags are rejected
}

BOOST_AUTO_TEST_CASE(the_shutdown_grace_is_in_seconds_and_empty_means_no_limit)
{
    BOOST_TEST(shutdown_grace_of("6").count() == 6'000);
    BOOST_TEST(shutdown_grace_of("2.5").count() == 2'500);
    BOOST_TEST(shutdown_grace_of("6.0").count() == 6'000);
    BOOST_TEST(shutdown_grace_of("0").count() == 0);
    BOOST_TEST(shutdown_grace_of("").count() == 0);
    for (const std::string value : {"-1", "3601", "six", "6s", "nan", "inf", "1e2"}) {
        BOOST_TEST(message_with("--shutdown-grace-s=" + value) ==
                   "setting shutdown-grace-s: '" + value +
                       "' is not allowed: must be a number of seconds from 0 to 3600");
    }
}

BOOST_AUTO_TEST_CASE(limits_of_resources_are_checked)
{
    BOOST_TEST(message_with("--memory-limit-mb=15") ==
               "setting memory-limit-mb: '15' is not allowed: must be an integer from 16 to "
               "1048576");
    BOOST_TEST(message_with("--descriptor-limit=none") ==
               "setting descriptor-limit: 'none' is not allowed: must be an integer from 64 to "
               "1048576");
    BOOST_TEST(message_with("--body-timeout-ms=0").find("setting body-timeout-ms: '0'") == 0);
    auto arguments = valid_arguments;
    arguments.insert(arguments.end(), {"--memory-limit-mb=160", "--descriptor-limit=4100"});
    const auto parsed = parse_daemon_settings(arguments, no_environment);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->settings_.memory_limit_bytes_ == 160U * 1024 * 1024);
    BOOST_TEST(parsed->settings_.descriptor_limit_ == 4'100U);
    const environment_lookup empty_variable = [](const std::string& name) {
        return name == "SYCAMOREWINCH_MEMORY_LIMIT_MB" ? std::optional<std::string>("")
                                                       : std::nullopt;
    };
    const auto with_default = parse_daemon_settings(valid_arguments, empty_variable);
    BOOST_REQUIRE(with_default.has_value());
    BOOST_TEST(with_default->settings_.memory_limit_bytes_ == 512U * 1024 * 1024);
}

BOOST_AUTO_TEST_CASE(a_flag_overrides_the_environment)
{
    const environment_lookup environment = [](const std::string& name) {
        return name == "SYCAMOREWINCH_ZONE" || name == "SYCAMOREWINCH_WORKERS"
                   ? std::optional<std::string>("3")
                   : std::nullopt;
    };
    const auto parsed = parse_daemon_settings(valid_arguments, environment);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->settings_.availability_zone_ == "zone-a");
    BOOST_TEST(parsed->settings_.workers_ == 3);
}
