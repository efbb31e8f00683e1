#include "daemon/operator_api.h"

#include <optional>
#include <set>

#include <fmt/core.h>

#include "daemon/operator_json.h"
#include "table/table_check.h"

namespace sycamorewinch {

namespace {

auto status_of(const accept_outcome& outcome) -> int
{
    switch (outcome.status_) {
    case accept_status::accepted:
        return 200;
    case accept_status::conflict:
        return 409;
    case accept_status::refused:
        return 422;
    }
    return 500;
}

/** Proposes edits and tracks which ones have no outcome yet. */
class edit_submitter {
  public:
    explicit edit_submitter(operator_api_hooks hooks) : hooks_(std::move(hooks)) {}

    auto submit(const QHttpServerRequest& request) -> QHttpServerResponse
    {
        const auto object = read_json(request);
        if (!object) {
            return error_response(object.error());
        }
        const auto edit_id = object->value(QLatin1String("edit_id")).toString().toStdString();
        auto& replica = hooks_.replica_();
        // A repeated request for the same edit does not parse its table again.
        if (!replica.state().outcome_of(edit_id) && !pending_.contains(edit_id)) {
            const auto command = read_accept_command(*object, *replica.state().current());
            if (!command) {
                return error_response(command.error());
            }
            if (const auto problem = propose(replica, *command)) {
                return error_response(*problem);
            }
        }
        if (const auto outcome = replica.state().outcome_of(edit_id)) {
            return json_response(to_json(*outcome), status_of(*outcome));
        }
        return json_response({{"status", "pending"}, {"edit_id", to_json(edit_id)}},
                             pending_status);
    }

  private:
    static constexpr int pending_status = 202;

    /** Returns an error if the replica rejects the edit synchronously. */
    auto propose(control_replica& replica, const accept_command& command) -> std::optional<error>
    {
        pending_.insert(command.edit_id_);
        const auto problem = std::make_shared<std::optional<error>>();
        const auto on_outcome = [this, problem, id = command.edit_id_](const auto& outcome) {
            pending_.erase(id);
            if (!outcome) {
                *problem = outcome.error();
            }
        };
        replica.accept(command, on_outcome, monotonic_now());
        return *problem;
    }

    operator_api_hooks hooks_;
    std::set<std::string> pending_;
};

auto on_check(const QHttpServerRequest& request) -> QHttpServerResponse
{
    const auto rows = read_csv(request.body().toStdString());
    if (!rows) {
        return error_response(rows.error());
    }
    QJsonArray findings;
    for (const auto& finding : check_table(*rows)) {
        findings.append(QJsonObject{{"service", to_json(finding.service_)},
                                    {"column", to_json(name_of(finding.column_))},
                                    {"message", to_json(finding.message_)}});
    }
    return json_response({{"findings", findings}});
}

auto on_table(const operator_api_hooks& hooks) -> QHttpServerResponse
{
    const auto& table = *hooks.replica_().state().current();
    return json_response(
        {{"version", to_json(table.version_)}, {"csv", to_json(write_csv(table.rows_))}});
}

auto on_history(const operator_api_hooks& hooks) -> QHttpServerResponse
{
    QJsonArray entries;
    for (const auto& entry : hooks.replica_().state().history()) {
        entries.append(to_json(entry));
    }
    return json_response({{"history", entries}});
}

auto on_organisations(const operator_api_hooks& hooks) -> QHttpServerResponse
{
    const auto& table = *hooks.replica_().state().current();
    QJsonArray organisations;
    for (const auto& organisation : table.organisations_) {
        organisations.append(to_json(organisation));
    }
    return json_response({{"version", to_json(table.version_)}, {"organisations", organisations}});
}

auto on_status(const operator_api_hooks& hooks) -> QHttpServerResponse
{
    auto& replica = hooks.replica_();
    const auto& raft = replica.raft_state();
    return json_response({{"name", to_json(raft.options().self_)},
                          {"role", to_json(name_of(raft.role()))},
                          {"leader", to_json(raft.leader())},
                          {"term", static_cast<qint64>(raft.term())},
                          {"commit", static_cast<qint64>(raft.commit_index())},
                          {"version", to_json(replica.state().current()->version_)},
                          {"zones", to_json(hooks.progress_())}});
}

auto on_progress(const operator_api_hooks& hooks) -> QHttpServerResponse
{
    const auto& version = hooks.replica_().state().current()->version_;
    QJsonArray silent;
    for (const auto& name : hooks.silent_replicas_()) {
        silent.append(to_json(name));
    }
    return json_response({{"version", to_json(version)},
                          {"zones", to_json(hooks.progress_())},
                          {"silent_replicas", silent}});
}

auto on_targets(const operator_api_hooks& hooks) -> QHttpServerResponse
{
    QJsonArray targets;
    for (const auto& target : hooks.targets_()) {
        targets.append(to_json(target));
    }
    return json_response({{"targets", targets}});
}

/** Wraps \p handler so that only the leader answers; a follower's state may be stale. */
auto leader_only(const operator_api_hooks& hooks, admin_handler handler) -> admin_handler
{
    return [hooks, handler = std::move(handler)](const QHttpServerRequest& request) {
        const auto& raft = hooks.replica_().raft_state();
        if (raft.role() != raft_role::leader) {
            const auto leader = raft.leader().empty() ? "none known" : raft.leader();
            return error_response({error_kind::unavailable,
                                   fmt::format("this replica does not lead; leader: {}", leader)});
        }
        return handler(request);
    };
}

} // namespace

void add_operator_api(admin_server& server, const operator_api_hooks& hooks)
{
    const auto get = QHttpServerRequest::Method::Get;
    const auto post = QHttpServerRequest::Method::Post;
    const auto add = [&server](auto method, const char* path, const admin_handler& handler) {
        server.handle(method, path, admin_access::operators, handler);
    };
    add(get, "/v1/status", [hooks](const auto&) { return on_status(hooks); });
    add(get, "/v1/table", leader_only(hooks, [hooks](const auto&) { return on_table(hooks); }));
    add(get, "/v1/organisations",
        leader_only(hooks, [hooks](const auto&) { return on_organisations(hooks); }));
    add(get, "/v1/progress",
        leader_only(hooks, [hooks](const auto&) { return on_progress(hooks); }));
    add(get, "/v1/table/history",
        leader_only(hooks, [hooks](const auto&) { return on_history(hooks); }));
    add(get, "/v1/targets", [hooks](const auto&) { return on_targets(hooks); });
    add(post, "/v1/table/check", [](const auto& request) { return on_check(request); });
    const auto submitter = std::make_shared<edit_submitter>(hooks);
    add(post, "/v1/table/accept", leader_only(hooks, [submitter](const auto& request) {
            return submitter->submit(request);
        }));
}

} // namespace sycamorewinch
