#include <fstream>

#include <QTemporaryDir>
#include <boost/test/unit_test.hpp>

#include "settings/settings_files.h"

using namespace sycamorewinch;

namespace {

/** A directory that is removed at the end of the test. */
struct temporary_directory {
    [[nodiscard]] auto path(const std::string& name) const -> std::string
    {
        return dir_.filePath(QString::fromStdString(name)).toStdString();
    }
    auto write(const std::string& name, const std::string& text) const -> std::string
    {
        std::ofstream(path(name)) << text;
        return path(name);
    }

    QTemporaryDir dir_;
};

auto check_result_of(const daemon_settings& settings) -> std::string
{
    const auto checked = check_setting_files(settings);
    return checked ? "valid" : checked.error().message_;
}

auto starts_with(const std::string& text, const std::string& prefix) -> bool
{
    return text.find(prefix) == 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(secret_files_must_be_readable_and_long_enough)
{
    const temporary_directory files;
    daemon_settings settings;
    settings.cluster_key_file_ = files.path("none");
    BOOST_TEST(starts_with(check_result_of(settings), "setting cluster-key-file: '"));
    settings.cluster_key_file_ = files.write("short", "abc");
    BOOST_TEST(starts_with(check_result_of(settings), "setting cluster-key-file: '"));
    settings.cluster_key_file_ = files.write("key", "0123456789abcdef");
    BOOST_TEST(check_result_of(settings) == "valid");
    settings.operator_token_file_ = files.write("empty", "\n");
    BOOST_TEST(starts_with(check_result_of(settings), "setting operator-token-file: '"));
    settings.operator_token_file_ = files.write("token", "secret\n");
    BOOST_TEST(check_result_of(settings) == "valid");
}

BOOST_AUTO_TEST_CASE(the_data_directory_must_exist_or_be_creatable)
{
    const temporary_directory files;
    daemon_settings settings;
    settings.role_ = daemon_role::control;
    settings.data_dir_ = files.path("new/one");
    BOOST_TEST(check_result_of(settings) == "valid");
    settings.data_dir_ = files.write("file", "x");
    BOOST_TEST(starts_with(check_result_of(settings), "setting data-dir: '"));
    settings.data_dir_ = files.path("file/below");
    BOOST_TEST(starts_with(check_result_of(settings), "setting data-dir: '"));
}

BOOST_AUTO_TEST_CASE(finds_environment_variables_that_are_not_settings)
{
    const auto unknown = find_unknown_variables(
        {"SYCAMOREWINCH_ZONE", "SYCAMOREWINCH_LISTEN_ADMIN", "SYCAMOREWINCH_ZONES", "PATH",
         "SYCAMOREWINCH_CONTROL", "SYCAMOREWINCH_CHECK_SETTINGS"});
    BOOST_TEST((unknown ==
                std::vector<std::string>{"SYCAMOREWINCH_ZONES", "SYCAMOREWINCH_CHECK_SETTINGS"}));
}
