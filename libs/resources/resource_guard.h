/** \file
 * Keeps what the clients of one event loop hold within the limits of their process.
 *
 * The clients are connections, and requests on connections that many clients share. When memory or
 * connections run short, those that have made no progress for the longest time give back what they
 * hold, so that others are served: first backpressure (is_tight()), then refusals (make_room()). A
 * client whose request is complete and waits for its response is never chosen.
 */
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <optional>

#include "resources/memory_account.h"

namespace sycamorewinch {

/** Why a client had to give back what it holds. */
enum class reclaim_reason : std::uint8_t {
    memory,      ///< The process holds as much for clients as it may.
    connections, ///< The address has as many connections as it may.
    stalled,     ///< The next bytes of the request did not come in time.
};

constexpr std::size_t reclaim_reason_count = 3;

/** Returns the name of \p reason for logs and metrics. */
[[nodiscard]] auto name_of(reclaim_reason reason) -> std::string_view;

/** How far a client's request is. */
enum class client_stage : std::uint8_t {
    idle,    ///< No request is in progress.
    sending, ///< A request arrives, or a response is being sent.
    waiting, ///< The client has sent a complete request and waits for the response.
};

class guarded_client;

/** The guard of one event loop. The account must outlive it, and it its clients. */
class resource_guard {
  public:
    /** Limits the connections to \p max_connections. \p name is that of the address in logs. */
    resource_guard(memory_account& account, memory_use use, std::size_t max_connections,
                   std::string name);
    resource_guard(const resource_guard&) = delete;
    auto operator=(const resource_guard&) -> resource_guard& = delete;
    resource_guard(resource_guard&&) = delete;
    auto operator=(resource_guard&&) -> resource_guard& = delete;
    ~resource_guard() = default;

    /** Returns whether \p bytes more may be held for \p requester, which may be null, after other
     * clients have given back what they hold if need be. */
    auto make_room(std::uint64_t bytes, const guarded_client* requester) -> bool;
    /** Returns whether one more connection may be served, after another one was closed if need be.
     */
    auto admit_connection() -> bool;
    /** Returns whether so much is held that each client should be given less. */
    [[nodiscard]] auto is_tight() const -> bool;
    /** Returns \p bytes, or the little that each client may have queued while memory is tight. */
    [[nodiscard]] auto queue_limit(std::size_t bytes) const -> std::size_t;
    /** Counts and logs that a client gave back what it holds. */
    void record(reclaim_reason reason);

    [[nodiscard]] auto account() -> memory_account& { return account_; }
    [[nodiscard]] auto use() const -> memory_use { return use_; }

  private:
    friend class guarded_client;
    using client_list = std::list<guarded_client*>;

    [[nodiscard]] auto has_room(std::uint64_t bytes) const -> bool;
    auto reclaim_oldest(client_stage stage, reclaim_reason reason, bool connections_only,
                        const guarded_client* requester) -> bool;
    [[nodiscard]] auto clients(client_stage stage) -> client_list&
    {
        return clients_.at(static_cast<std::size_t>(stage));
    }

    memory_account& account_;
    memory_use use_;
    std::size_t max_connections_;
    std::size_t connections_ = 0;
    std::string name_;
    std::array<client_list, 3> clients_; ///< By stage; the longest without progress first.
    std::array<counter*, reclaim_reason_count> reclaimed_{};
};

/** Whether a client is a connection of its own. */
enum class client_kind : std::uint8_t { connection, stream };

/** One client, as its guard knows it. */
class guarded_client {
  public:
    /** \p reclaim must free what the client holds. It is called again, while the client is idle, if
     * it did not leave the guard, as it may still have to read a refusal; it is then closed. A null
     * \p guard makes this object do nothing. */
    guarded_client(resource_guard* guard, client_kind kind,
                   std::function<void(reclaim_reason reason)> reclaim);
    guarded_client(const guarded_client&) = delete;
    auto operator=(const guarded_client&) -> guarded_client& = delete;
    guarded_client(guarded_client&&) = delete;
    auto operator=(guarded_client&&) -> guarded_client& = delete;
    ~guarded_client();

    /** States what the client waits for, and whether it has made progress since the last call. */
    void set_stage(client_stage stage, bool has_progressed);
    /** Makes the client give back what it holds. */
    void reclaim(reclaim_reason reason);
    /** Removes the client from its guard; nothing is asked of it any more. */
    void leave();

  private:
    friend class resource_guard;

    resource_guard* guard_;
    client_kind kind_;
    std::function<void(reclaim_reason reason)> reclaim_;
    client_stage stage_ = client_stage::idle;
    std::list<guarded_client*>::iterator position_;
};

/** The bytes that one holder keeps for clients of a guard, or for no guard if that is null. */
class memory_charge {
  public:
    explicit memory_charge(resource_guard* guard) : guard_(guard) {}
    memory_charge(const memory_charge&) = delete;
    auto operator=(const memory_charge&) -> memory_charge& = delete;
    memory_charge(memory_charge&&) = delete;
    auto operator=(memory_charge&&) -> memory_charge& = delete;
    ~memory_charge() { set(0); }

    /** States the bytes held now. */
    void set(std::uint64_t bytes);

  private:
    resource_guard* guard_;
    std::uint64_t bytes_ = 0;
};

} // namespace sycamorewinch
