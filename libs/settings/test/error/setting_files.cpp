#include <fstream>

#include <QTemporaryDir>
#include <boost/test/unit_test.hpp>

#include "settings/settings_files.h"

using namespace sycamorewinch;

namespace {

/** A folder for one test. */
struct folder {
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

auto message_for(const daemon_settings& settings) -> std::string
{
    const auto checked = check_setting_files(settings);
    return checked ? "good" : checked.error().message_;
}

auto starts(const std::string& text, const std::string& part) -> bool
{
    return text.find(part) == 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(secret_files_must_be_readable_and_long_enough)
{
    const folder files;
    daemon_settings settings;
    settings.cluster_key_file_ = files.path("none");
    BOOST_TEST(starts(message_for(settings), "setting cluster-key-file: '"));
    settings.cluster_key_file_ = files.write("short", "abc");
    BOOST_TEST(starts(message_for(settings), "setting cluster-key-file: '"));
    settings.cluster_key_file_ = files.write("key", "0123456789abcdef");
    BOOST_TEST(message_for(settings) == "good");
    settings.operator_token_file_ = files.write("empty", "\n");
    BOOST_TEST(starts(message_for(settings), "setting operator-token-file: '"));
    settings.operator_token_file_ = files.write("token", "secret\n");
    BOOST_TEST(message_for(settings) == "good");
}

BOOST_AUTO_TEST_CASE(the_data_folder_must_be_a_folder_or_possible)
{
    const folder files;
    daemon_settings settings;
    settings.role_ = daemon_role::control;
    settings.data_dir_ = files.path("new/one");
    BOOST_TEST(message_for(settings) == "good");
    settings.data_dir_ = files.write("file", "x");
    BOOST_TEST(starts(message_for(settings), "setting data-dir: '"));
    settings.data_dir_ = files.path("file/below");
    BOOST_TEST(starts(message_for(settings), "setting data-dir: '"));
}

BOOST_AUTO_TEST_CASE(variables_that_are_no_settings_are_found)
{
    const auto unknown = unknown_variables({"SYCAMOREWINCH_ZONE", "SYCAMOREWINCH_LISTEN_ADMIN",
                                            "SYCAMOREWINCH_ZONES", "PATH", "SYCAMOREWINCH_CONTROL",
                                            "SYCAMOREWINCH_CHECK_SETTINGS"});
    BOOST_TEST((unknown ==
                std::vector<std::string>{"SYCAMOREWINCH_ZONES", "SYCAMOREWINCH_CHECK_SETTINGS"}));
}
