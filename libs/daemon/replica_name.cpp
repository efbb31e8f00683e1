#include "daemon/replica_name.h"

#include <algorithm>

#include "consensus/group_membership.h"
#include "observability/log.h"
#include "storage/replica_identity.h"

namespace sycamorewinch {

namespace {

/** The Raft term of the entry that founders store before any election. */
constexpr std::uint64_t first_term = 1;

auto store_first_entry(const group_membership& founders, const file_system& files,
                       replica_store& store) -> result<void>
{
    const log_entry first{1, first_term, entry_kind::membership, encode_membership(founders)};
    auto stored = store.append({first}).and_then([&store] {
        return store.save_vote({first_term, {}, true});
    });
    if (!stored) {
        return stored;
    }
    auto opened = replica_store::open(files);
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    store = std::move(*opened);
    return {};
}

} // namespace

auto founder_names(const std::vector<peer_address>& seeds) -> std::vector<std::string>
{
    std::vector<std::string> names;
    names.reserve(seeds.size());
    for (const auto& seed : seeds) {
        names.push_back(to_text(seed));
    }
    std::ranges::sort(names);
    return names;
}

auto establish_replica_name(const daemon_settings& settings, const file_system& files,
                            replica_store& store, const random_hook& random) -> result<std::string>
{
    const auto address = to_text(settings.listen_peers_);
    const group_membership founders{founder_names(settings.control_seeds_), {}};
    const bool is_founder = settings.founds_group_ && founders.is_voter(address);
    const auto identity = load_or_create_identity(files, address, is_founder, random);
    if (!identity) {
        return tl::unexpected(identity.error());
    }
    if (identity->is_new_ && is_founder) {
        if (auto stored = store_first_entry(founders, files, store); !stored) {
            return tl::unexpected(stored.error());
        }
    }
    log_event(log_level::info, "replica_named",
              {{"name", identity->name_},
               {"disk", identity->is_new_ ? "empty" : "kept"},
               {"founder", is_founder}});
    return identity->name_;
}

} // namespace sycamorewinch
