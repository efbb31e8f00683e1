#include "resources/resource_guard.h"

#include <algorithm>
#include <utility>

#include "base/enum_names.h"
#include "observability/log.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<reclaim_reason, reclaim_reason_count> reason_names{
    {"memory", "connections", "stalled"}};

/** What each client may have queued while memory is tight. */
constexpr std::size_t tight_queue_bytes = 16U * 1024;
/** After memory has run out, clients give back so much that this part of the limit is free. */
constexpr std::uint64_t free_part_after_reclaim = 8;

} // namespace

auto name_of(reclaim_reason reason) -> std::string_view
{
    return reason_names.name(reason);
}

resource_guard::resource_guard(memory_account& account, memory_use use, std::size_t max_connections,
                               std::string name)
    : account_(account), use_(use), max_connections_(max_connections), name_(std::move(name))
{
    for (std::size_t index = 0; index < reclaim_reason_count; ++index) {
        reclaimed_.at(index) = &account.metrics().count(
            "sycamorewinch_clients_reclaimed_total",
            "Connections closed and requests refused to get back what they hold, by address and "
            "reason.",
            {{"address", name_}, {"reason", name_of(static_cast<reclaim_reason>(index))}});
    }
}

auto resource_guard::has_room(std::uint64_t bytes) const -> bool
{
    return account_.held(use_) + bytes <= account_.limit(use_);
}

auto resource_guard::make_room(std::uint64_t bytes, const guarded_client* requester) -> bool
{
    if (has_room(bytes)) {
        return true;
    }
    const auto wanted = bytes + account_.limit(use_) / free_part_after_reclaim;
    while (!has_room(wanted) &&
           (reclaim_oldest(client_stage::sending, reclaim_reason::memory, false, requester) ||
            reclaim_oldest(client_stage::idle, reclaim_reason::memory, false, requester))) {
    }
    return has_room(bytes);
}

auto resource_guard::admit_connection() -> bool
{
    if (connections_ >= max_connections_ &&
        !reclaim_oldest(client_stage::idle, reclaim_reason::connections, true, nullptr)) {
        reclaim_oldest(client_stage::sending, reclaim_reason::connections, true, nullptr);
    }
    if (connections_ < max_connections_) {
        return true;
    }
    record(reclaim_reason::connections);
    return false;
}

auto resource_guard::reclaim_oldest(client_stage stage, reclaim_reason reason,
                                    bool connections_only, const guarded_client* requester) -> bool
{
    auto& candidates = clients(stage);
    const auto oldest = std::ranges::find_if(candidates, [&](const auto* client) {
        return client != requester &&
               (!connections_only || client->kind_ == client_kind::connection);
    });
    if (oldest == candidates.end()) {
        return false;
    }
    (*oldest)->reclaim(reason);
    return true;
}

auto resource_guard::is_tight() const -> bool
{
    return account_.held(use_) > account_.limit(use_) / 2;
}

auto resource_guard::queue_limit(std::size_t bytes) const -> std::size_t
{
    return is_tight() ? std::min(bytes, tight_queue_bytes) : bytes;
}

void resource_guard::record(reclaim_reason reason)
{
    reclaimed_.at(static_cast<std::size_t>(reason))->add();
    log_event(log_level::warning, "client_reclaimed",
              {{"address", name_},
               {"reason", name_of(reason)},
               {"held_bytes", account_.held(use_)},
               {"limit_bytes", account_.limit(use_)},
               {"connections", connections_}});
}

guarded_client::guarded_client(resource_guard* guard, client_kind kind,
                               std::function<void(reclaim_reason reason)> reclaim)
    : guard_(guard), kind_(kind), reclaim_(std::move(reclaim))
{
    if (guard_ != nullptr) {
        auto& list = guard_->clients(stage_);
        position_ = list.insert(list.end(), this);
        guard_->connections_ += kind_ == client_kind::connection ? 1 : 0;
    }
}

guarded_client::~guarded_client()
{
    leave();
}

void guarded_client::set_stage(client_stage stage, bool has_progressed)
{
    if (guard_ == nullptr || (stage == stage_ && !has_progressed)) {
        return;
    }
    auto& list = guard_->clients(stage);
    list.splice(list.end(), guard_->clients(stage_), position_);
    stage_ = stage;
}

void guarded_client::reclaim(reclaim_reason reason)
{
    if (guard_ == nullptr) {
        return;
    }
    guard_->record(reason);
    if (stage_ == client_stage::idle) {
        leave();
    }
    else {
        set_stage(client_stage::idle, true);
    }
    const auto reclaim = reclaim_; // a copy, as it may destroy this object
    reclaim(reason);
}

void guarded_client::leave()
{
    if (auto* guard = std::exchange(guard_, nullptr)) {
        guard->clients(stage_).erase(position_);
        guard->connections_ -= kind_ == client_kind::connection ? 1 : 0;
    }
}

void memory_charge::set(std::uint64_t bytes)
{
    if (guard_ == nullptr || bytes == bytes_) {
        return;
    }
    if (bytes > bytes_) {
        guard_->account().add(guard_->use(), bytes - bytes_);
    }
    else {
        guard_->account().subtract(guard_->use(), bytes_ - bytes);
    }
    bytes_ = bytes;
}

} // namespace sycamorewinch
