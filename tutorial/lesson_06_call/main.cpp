/** \file
 * Lesson 6: a control replica, a node and a target in one process, connected over loopback. An
 * operator accepts a table; the node then forwards a caller's request to the target.
 */
#include "../lesson.h"

#include <QCoreApplication>
#include <QTemporaryDir>

#include "cli/accept_edit.h"
#include "daemon/daemon_role.h"
#include "standin/load_generator.h"
#include "standin/standin_target.h"

using namespace sycamorewinch;

namespace {

constexpr std::uint16_t first_port = 25950;

auto loopback(int offset) -> peer_address
{
    return {"127.0.0.1", static_cast<std::uint16_t>(first_port + offset)};
}

auto control_settings(const std::string& data_dir) -> daemon_settings
{
    daemon_settings settings;
    settings.role_ = daemon_role::control;
    settings.name_ = "control-0";
    settings.availability_zone_ = "zone-a";
    settings.listen_peers_ = loopback(0);
    settings.listen_admin_ = loopback(1);
    settings.control_peers_ = {{"control-0", loopback(0)}};
    settings.data_dir_ = data_dir;
    return settings;
}

auto node_settings() -> daemon_settings
{
    daemon_settings settings;
    settings.role_ = daemon_role::node;
    settings.name_ = "node-0";
    settings.availability_zone_ = "zone-a";
    settings.listen_peers_ = loopback(2);
    settings.listen_admin_ = loopback(3);
    settings.listen_callers_ = loopback(4);
    settings.upstreams_ = {loopback(0)};
    return settings;
}

/** Makes \p calls calls, waits until all have ended and returns their outcome. */
auto call(std::uint64_t calls) -> load_result
{
    load_options options{.nodes_ = {loopback(4)}, .path_ = "/directory/42", .calls_ = calls};
    load_result outcome;
    const auto load = generate_load(options, [&outcome](const load_result& ended) {
        outcome = ended;
        QCoreApplication::quit();
    });
    QCoreApplication::exec();
    return outcome;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const QCoreApplication application(argc, argv);
    set_log_level(log_level::error);
    const QTemporaryDir folder;
    const daemon_secrets secrets{cluster_key::create("a secret of 16 bytes or more").value(), {}};
    const auto control =
        start_role(control_settings(folder.filePath("data").toStdString()), secrets);
    lesson::check("the control replica starts", control.has_value());
    const auto node = start_role(node_settings(), secrets);
    lesson::check("the node starts", node.has_value());

    // The target registers with the node beside it.
    const auto target = standin_target::start({.service_ = "directory",
                                               .target_ = "d1",
                                               .listen_ = {"127.0.0.1", 0},
                                               .node_admin_ = loopback(3)});
    lesson::check("the target starts", target.has_value());

    // Without a table in force the node refuses the request, which was not run.
    const auto before = call(1);
    lesson::check("without a table a call is refused", before.by_refusal_.size() == 1);

    // An operator accepts a table. The client retries until the replica is the leader.
    control_client client({.addresses_ = {to_text(loopback(1))}});
    command_context context{client, std::cout, std::cerr, false, "ann", {}};
    const auto base = fetch_table(context);
    row directory{.service_ = "directory", .path_prefix_ = "/directory"};
    directory.timeout_ = std::chrono::milliseconds(2000);
    const auto accepted =
        send_edit(context, {choose_edit_id(context), base.value(), make_table(0, {directory})});
    lesson::check("the table is accepted", accepted.status_ == exit_status::done);

    // Calls are answered once the table and the target record have reached the node.
    while (call(1).by_status_.count(200) == 0) {
    }
    lesson::check("20 of 20 calls are answered", call(20).by_status_[200] == 20);
    return EXIT_SUCCESS;
}
