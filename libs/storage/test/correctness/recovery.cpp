// Opening a replica store again after a clean stop, a crash or damage to its files.
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

#include "storage/replica_store.h"

using namespace sycamorewinch;

namespace {

/** A folder that is removed when the test ends. */
struct temporary_folder {
    std::string path_ = (std::filesystem::temp_directory_path() /
                         ("sycamorewinch-storage-" + std::to_string(::getpid())))
                            .string();
    temporary_folder() { std::filesystem::remove_all(path_); }
    temporary_folder(const temporary_folder&) = delete;
    auto operator=(const temporary_folder&) -> temporary_folder& = delete;
    temporary_folder(temporary_folder&&) = delete;
    auto operator=(temporary_folder&&) -> temporary_folder& = delete;
    ~temporary_folder() { std::filesystem::remove_all(path_); }
};

auto reopen(const std::string& path) -> result<durable_state>
{
    auto files = open_file_system(path);
    BOOST_REQUIRE(files.has_value());
    return replica_store::open(*files).map([](auto store) { return store.take_recovered(); });
}

void write_three_entries(const std::string& path)
{
    auto store = replica_store::open(open_file_system(path).value()).value();
    BOOST_TEST(store.save_vote({4, "b"}).has_value());
    BOOST_TEST(store.append({{1, 1, entry_kind::no_op, ""}, {2, 1, entry_kind::command, "x"}})
                   .has_value());
    BOOST_TEST(store.append({{3, 1, entry_kind::command, "lost"}}).has_value());
    BOOST_TEST(store.truncate_after(2).has_value());
    BOOST_TEST(store.append({{3, 4, entry_kind::command, "y"}}).has_value());
}

} // namespace

BOOST_AUTO_TEST_CASE(vote_and_log_are_recovered)
{
    const temporary_folder folder;
    write_three_entries(folder.path_);
    const auto state = reopen(folder.path_);
    BOOST_REQUIRE(state.has_value());
    BOOST_TEST((state->vote_ == vote_state{4, "b"}));
    BOOST_REQUIRE(state->entries_.size() == 3);
    BOOST_TEST(state->entries_.back().payload_ == "y");
}

BOOST_AUTO_TEST_CASE(a_torn_last_record_is_discarded_at_every_length)
{
    const temporary_folder folder;
    write_three_entries(folder.path_);
    const auto log = folder.path_ + "/log";
    std::ifstream file(log, std::ios::binary);
    const std::string bytes(std::istreambuf_iterator<char>(file), {});
    const auto header_bytes = bytes.find('\n') + 1;
    for (auto length = bytes.size(); length-- > header_bytes;) {
        std::ofstream(log, std::ios::binary | std::ios::trunc).write(bytes.data(), length);
        const auto state = reopen(folder.path_);
        BOOST_REQUIRE(state.has_value());
        BOOST_TEST(state->entries_.size() < 3);
    }
}

BOOST_AUTO_TEST_CASE(damage_before_the_end_is_reported_with_file_and_offset)
{
    const temporary_folder folder;
    write_three_entries(folder.path_);
    {
        std::fstream log(folder.path_ + "/log", std::ios::in | std::ios::out | std::ios::binary);
        log.seekp(40); // in the payload of the first record: after the file header and the record's
                       // length and checksum
        log.put('\x7f');
    }
    const auto state = reopen(folder.path_);
    BOOST_REQUIRE(!state.has_value());
    BOOST_TEST(state.error().message_.starts_with("file log is damaged at offset 20"));
}

BOOST_AUTO_TEST_CASE(a_data_folder_in_use_is_rejected)
{
    const temporary_folder folder;
    const auto first = open_file_system(folder.path_);
    BOOST_TEST(first.has_value());
    const auto second = open_file_system(folder.path_);
    BOOST_REQUIRE(!second.has_value());
    BOOST_TEST((second.error().kind_ == error_kind::conflict));
}

BOOST_AUTO_TEST_CASE(a_snapshot_and_the_entries_after_it_are_recovered)
{
    const temporary_folder folder;
    write_three_entries(folder.path_);
    const log_snapshot snapshot{2, 1, "state"};
    {
        auto store = replica_store::open(open_file_system(folder.path_).value()).value();
        BOOST_TEST(store.save_snapshot(snapshot, {{3, 4, entry_kind::command, "y"}}).has_value());
        BOOST_TEST(store.append({{4, 4, entry_kind::command, "z"}}).has_value());
        BOOST_TEST(store.truncate_after(3).has_value());
    }
    const auto state = reopen(folder.path_);
    BOOST_REQUIRE(state.has_value());
    BOOST_TEST((state->snapshot_ == snapshot));
    BOOST_REQUIRE(state->entries_.size() == 1);
    BOOST_TEST(state->entries_.front().index_ == 3);
}

BOOST_AUTO_TEST_CASE(a_crash_between_replacing_snapshot_and_log_keeps_later_entries)
{
    const temporary_folder folder;
    write_three_entries(folder.path_);
    auto files = open_file_system(folder.path_).value();
    auto store = replica_store::open(files).value();
    const auto log = files.read_("log").value();
    BOOST_TEST(
        store.save_snapshot({2, 1, "state"}, {{3, 4, entry_kind::command, "y"}}).has_value());
    BOOST_TEST(files.replace_("log", log).has_value()); // a crash before the log was replaced
    auto matching = replica_store::open(files).value().take_recovered();
    BOOST_REQUIRE(matching.entries_.size() == 1);
    BOOST_TEST(matching.entries_.front().payload_ == "y");
    BOOST_TEST(store.save_snapshot({2, 9, "other"}, {}).has_value());
    BOOST_TEST(files.replace_("log", log).has_value());
    BOOST_TEST(replica_store::open(files).value().take_recovered().entries_.empty());
}

BOOST_AUTO_TEST_CASE(another_format_version_is_rejected)
{
    const temporary_folder folder;
    auto files = open_file_system(folder.path_).value();
    BOOST_TEST(files.replace_("log", "sycamorewinch/log/3\n").has_value());
    const auto store = replica_store::open(files);
    BOOST_REQUIRE(!store.has_value());
    BOOST_TEST(store.error().message_ ==
               "file log has the format sycamorewinch/log/3; this program reads "
               "sycamorewinch/log/2");
}
