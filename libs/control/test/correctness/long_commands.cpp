#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

#include "base/field_limits.h"
#include "control/control_replica.h"
#include "storage/replica_store.h"

using namespace sycamorewinch;

namespace {

/** A group of one replica, whose log is kept in memory. */
class single_replica {
  public:
    explicit single_replica(durable_state state = {}, const std::string& name = "a")
        : log_(state.entries_)
    {
        raft_options options{.self_ = name, .voters_ = {name}};
        options.random_ = seeded_random(1);
        replica_ = std::make_unique<control_replica>(
            control_replica::create(options, std::move(state), make_hooks(), now_).value());
        while (replica_->raft_state().role() != raft_role::leader) {
            now_ += std::chrono::milliseconds(10);
            replica_->tick(now_);
        }
    }

    auto accept(const accept_command& command) -> result<accept_outcome>
    {
        std::optional<result<accept_outcome>> answer;
        replica_->accept(
            command, [&answer](const auto& outcome) { answer = outcome; }, now_);
        return answer.value();
    }

    auto apply_runs(const run_batch& batch) -> result<std::vector<run_result>>
    {
        std::optional<result<std::vector<run_result>>> answer;
        replica_->apply_runs(
            batch, [&answer](const auto& results) { answer = results; }, now_);
        return answer.value();
    }

    /** Returns the durable state that a restarted replica would find. */
    [[nodiscard]] auto durable() const -> durable_state { return {{1, "a", true}, {}, log_}; }
    [[nodiscard]] auto state() const -> const replicated_state& { return replica_->state(); }
    [[nodiscard]] auto log() const -> const std::vector<log_entry>& { return log_; }

  private:
    auto make_hooks() -> control_hooks
    {
        control_hooks hooks;
        hooks.save_vote_ = [](const auto&) {
            return result<void>();
        };
        hooks.truncate_after_ = [](auto) {
            return result<void>();
        };
        hooks.append_ = [this](const auto& entries) {
            log_.insert(log_.end(), entries.begin(), entries.end());
            return result<void>();
        };
        hooks.send_ = [](const auto&) {
        };
        hooks.on_table_ = [](const auto&) {
        };
        hooks.on_disk_failure_ = [](const auto&) {
        };
        return hooks;
    }

    instant now_;
    std::vector<log_entry> log_;
    std::unique_ptr<control_replica> replica_;
};

/** Returns an edit that adds a row split over \p parts services. */
auto make_split_edit(std::size_t parts, const table_version& base) -> accept_command
{
    row split{.service_ = "split", .path_prefix_ = "/split"};
    split.timeout_ = std::chrono::milliseconds(500);
    for (std::size_t part = 0; part < parts; ++part) {
        split.split_.push_back({"part-" + std::to_string(part), 1});
    }
    accept_command command{"edit-" + std::to_string(parts), "ann", base, {}};
    command.change_.upserts_ = {split};
    return command;
}

} // namespace

// Guards against a valid edit that is committed and that no replica can read: review/1, where a
// split over 257 services ended every replica, again at each restart.
BOOST_AUTO_TEST_CASE(a_split_over_thousands_of_services_is_accepted_and_survives_a_restart)
{
    single_replica replica;
    for (const std::size_t parts : {256U, 257U, 5'000U}) {
        const auto edit = make_split_edit(parts, replica.state().current()->version_);
        const auto outcome = replica.accept(edit);
        BOOST_REQUIRE(outcome.has_value());
        BOOST_TEST((outcome->status_ == accept_status::accepted));
        const single_replica restarted(replica.durable());
        BOOST_TEST((restarted.state().current()->version_ == outcome->version_));
        BOOST_TEST((restarted.state().current()->rows_ == edit.change_.upserts_));
    }
}

BOOST_AUTO_TEST_CASE(a_command_that_cannot_be_decoded_does_not_enter_the_log)
{
    single_replica replica;
    const auto entries = replica.log().size();
    auto edit = make_split_edit(2, replica.state().current()->version_);
    edit.operator_ = "\xff"; // not UTF-8
    BOOST_TEST((replica.accept(edit).error().kind_ == error_kind::corrupt));
    edit.operator_ = "ann";
    edit.document_.assign(max_entry_payload_bytes, 'd');
    BOOST_TEST((replica.accept(edit).error().kind_ == error_kind::too_large));
    run_operation operation;
    operation.outcome_.assign(max_outcome_bytes + 1, 'o');
    BOOST_TEST(!replica.apply_runs({0, {operation}}).has_value());
    BOOST_TEST(replica.log().size() == entries);
    edit.document_.clear();
    BOOST_TEST(replica.accept(edit).has_value()); // the replica still works
}

// Names of any length can be committed, and are then refused by the check of the table: a list of
// weights in a CSV may name a target of any length.
BOOST_AUTO_TEST_CASE(an_edit_with_an_overlong_name_is_refused_and_changes_nothing)
{
    single_replica replica;
    auto edit = make_split_edit(1, replica.state().current()->version_);
    edit.change_.upserts_.front().split_.clear();
    edit.change_.upserts_.front().weights_ = {
        {weight_scope::target, std::string(max_name_bytes + 1, 't'), 1}};
    const auto outcome = replica.accept(edit);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->status_ == accept_status::refused));
    BOOST_TEST(replica.state().current()->rows_.empty());
}

// The data folder was written by the version before the limits were removed from the decoders. Its
// last entry accepts a split over 257 services and ended that version at each restart.
BOOST_AUTO_TEST_CASE(the_log_of_an_earlier_version_is_read)
{
    const std::filesystem::path stored(SYCAMOREWINCH_TEST_DATA "/data_folder_with_long_split");
    const auto folder = std::filesystem::temp_directory_path() /
                        ("sycamorewinch-old-log-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    std::filesystem::copy(stored, folder);
    auto store = replica_store::open(open_file_system(folder.string()).value());
    BOOST_REQUIRE(store.has_value());
    const single_replica replica(store->take_recovered(), "127.77.3.1:21010");
    const auto& current = *replica.state().current();
    BOOST_TEST(current.version_.number_ == 2U);
    const auto* split = current.find("r-split");
    BOOST_REQUIRE(split != nullptr);
    BOOST_TEST(split->split_.size() == 257U);
    BOOST_TEST(replica.state().document().starts_with(R"({"Version":"00000002")"));
    std::filesystem::remove_all(folder);
}
