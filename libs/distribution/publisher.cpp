#include "distribution/publisher.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t max_steps = 1024;
constexpr std::size_t max_behind_names = 5;

} // namespace

publisher::publisher() : newest_(std::make_shared<const table>(make_table(0, {}))) {}

void publisher::set_table(table_pointer newest)
{
    invariant(newest->version_.number_ >= newest_->version_.number_,
              "the hub's table would go from {} to {}", newest_->version_.number_,
              newest->version_.number_);
    if (newest->version_ == newest_->version_) {
        return;
    }
    steps_.push_back({newest_->version_, difference(*newest_, *newest)});
    if (steps_.size() > max_steps) {
        steps_.pop_front();
    }
    newest_ = std::move(newest);
    encoded_.clear();
    for (auto& [id, peer] : subscribers_) {
        if (peer.subscribed_ && !peer.update_on_its_way_) {
            send_update(id, peer);
        }
    }
}

void publisher::set_publishers(std::vector<publisher_address> publishers)
{
    if (publishers_.publishers_ == publishers) {
        return;
    }
    publishers_.publishers_ = std::move(publishers);
    for (const auto& [id, peer] : subscribers_) {
        if (peer.subscribed_) {
            send(id, publishers_);
        }
    }
}

void publisher::merge_targets(const target_report& report)
{
    std::vector<target_record> news;
    for (const auto& target : report.targets_) {
        if (targets_.merge(target)) {
            leases_.release(target);
            news.push_back(target);
        }
        else if (report.is_held_ && *targets_.find(target.service_, target.target_) == target) {
            leases_.take_over(target);
        }
    }
    broadcast(news, std::nullopt);
}

void publisher::merge_sync(const bucket_contents& contents, bool replaces)
{
    if (replaces) {
        targets_.retain_only(leased_targets());
    }
    const auto outcome = targets_.merge_buckets(contents);
    for (const auto& target : outcome.target_updates_) {
        leases_.release(target);
    }
    broadcast(outcome.target_updates_, std::nullopt);
    if (!outcome.newer_local_.empty()) {
        output_.target_updates_.push_back({outcome.newer_local_, false});
    }
}

void publisher::merge_crashes(const std::vector<crash_record>& crashes)
{
    static_cast<void>(take_crash_news(crashes, std::nullopt));
}

auto publisher::take_crash_news(const std::vector<crash_record>& crashes,
                                std::optional<subscriber_id> but) -> std::vector<crash_record>
{
    crash_report news;
    for (const auto& crash : crashes) {
        if (crashes_.merge(crash, now_)) {
            news.crashes_.push_back(crash);
        }
    }
    for (const auto& [id, peer] : subscribers_) {
        if (!news.crashes_.empty() && peer.subscribed_ && id != but) {
            send(id, news);
        }
    }
    return std::move(news.crashes_);
}

void publisher::on_crashes(subscriber_id from, const crash_report& report)
{
    auto news = take_crash_news(report.crashes_, from);
    std::ranges::move(news, std::back_inserter(output_.crashes_));
}

void publisher::tick(instant now, bool is_joined)
{
    now_ = now;
    crashes_.expire(now);
    end_late_whole_tables();
    targets_.forget_gone(now);
    const auto expired = leases_.tick(now, is_joined, targets_);
    if (expired.empty()) {
        return;
    }
    for (const auto& target : expired) {
        targets_.merge(target);
    }
    broadcast(expired, std::nullopt);
    output_.target_updates_.push_back({expired, false});
}

auto publisher::leased_targets() const -> std::vector<target_record>
{
    auto held = targets_.records();
    std::erase_if(held, [this](const auto& record) { return !leases_.holds(record); });
    return held;
}

void publisher::broadcast(const std::vector<target_record>& news, std::optional<subscriber_id> but)
{
    if (news.empty()) {
        return;
    }
    const auto bytes =
        std::make_shared<const std::string>(encode_message(target_report{news, false}));
    for (const auto& [id, peer] : subscribers_) {
        if (peer.subscribed_ && id != but) {
            output_.messages_.push_back({id, bytes});
        }
    }
}

void publisher::on_subscriber_disconnected(subscriber_id from)
{
    const auto found = subscribers_.find(from);
    if (found != subscribers_.end()) {
        whole_tables_on_their_way_ -= found->second.whole_table_since_ ? 1 : 0;
        subscribers_.erase(found);
    }
    admit_whole_tables();
    leases_.on_holder_gone(from, now_);
    std::erase_if(waiting_, [from](const auto& one) { return one.from_ == from; });
    std::erase_if(asking_, [from](const auto& one) { return one.from_ == from; });
    output_.progress_changed_ = true;
}

void publisher::on_message(subscriber_id from, const distribution_message& message)
{
    if (const auto* first = std::get_if<subscribe>(&message)) {
        on_subscribe(from, *first);
        return;
    }
    if (!subscribers_.contains(from)) {
        output_.to_disconnect_.push_back(from);
        return;
    }
    if (const auto* request = std::get_if<currency_request>(&message)) {
        if (request->is_refresh_ && has_quorum_contact_) {
            send(from, currency_proof{request->nonce_, newest_->version_.number_});
            return;
        }
        waiting_.push_back({from, request->nonce_});
        ask_for_proof();
    }
    else if (const auto* progress = std::get_if<progress_report>(&message)) {
        on_progress(from, *progress);
    }
    else if (const auto* targets = std::get_if<target_report>(&message)) {
        on_targets(from, *targets);
    }
    else if (const auto* summary = std::get_if<target_summary>(&message)) {
        on_summary(from, *summary);
    }
    else if (const auto* crashes = std::get_if<crash_report>(&message)) {
        on_crashes(from, *crashes);
    }
    else {
        output_.to_disconnect_.push_back(from);
    }
}

void publisher::on_subscribe(subscriber_id from, const subscribe& message)
{
    auto& peer = subscribers_[from];
    peer.name_ = message.name_;
    peer.availability_zone_ = message.availability_zone_;
    peer.is_relay_ = message.is_relay_;
    peer.held_ = message.held_;
    peer.subscribed_ = true;
    send_update(from, peer);
    if (!publishers_.publishers_.empty()) {
        send(from, publishers_);
    }
    if (auto crashes = crashes_.records(); !crashes.empty()) {
        send(from, crash_report{std::move(crashes)});
    }
}

// A report of progress also says that the update on its way has arrived.
void publisher::on_progress(subscriber_id from, const progress_report& report)
{
    auto& peer = subscribers_.at(from);
    peer.progress_ = report.zones_;
    peer.update_on_its_way_ = false;
    if (std::exchange(peer.whole_table_since_, std::nullopt)) {
        --whole_tables_on_their_way_;
        admit_whole_tables();
    }
    output_.progress_changed_ = true;
    send_update(from, peer);
}

void publisher::on_targets(subscriber_id from, const target_report& report)
{
    target_report news{{}, report.is_held_};
    target_report taken_over{{}, true};
    for (const auto& target : report.targets_) {
        const auto is_news = targets_.merge(target);
        if (is_news) {
            leases_.release(target);
            news.targets_.push_back(target);
        }
        const auto* known = targets_.find(target.service_, target.target_);
        if (report.is_held_ && *known == target) {
            if (!is_news && !leases_.is_vouched_for(target)) {
                taken_over.targets_.push_back(target);
            }
            leases_.hold(target, from, subscribers_.at(from).is_relay_);
        }
        if (!is_news && *known != target) {
            send(from, target_report{{*known}, false}); // it must know better, or refute this
        }
    }
    if (!news.targets_.empty()) {
        broadcast(news.targets_, from);
        output_.target_updates_.push_back(std::move(news));
    }
    if (!taken_over.targets_.empty()) {
        output_.target_updates_.push_back(std::move(taken_over)); // no news below
    }
}

void publisher::on_summary(subscriber_id from, const target_summary& summary)
{
    send(from, target_sync{targets_.differing_buckets(summary.digests_)});
}

void publisher::send(subscriber_id to, const distribution_message& message)
{
    output_.messages_.push_back({to, std::make_shared<const std::string>(encode_message(message))});
}

void publisher::send_update(subscriber_id to, peer& peer)
{
    if (peer.held_.number_ >= newest_->version_.number_) {
        return;
    }
    if (needs_whole_table(peer.held_)) {
        if (whole_tables_on_their_way_ >= max_whole_tables_on_their_way) {
            waiting_for_whole_table_.push_back(to);
            return;
        }
        ++whole_tables_on_their_way_;
        peer.whole_table_since_ = now_;
    }
    output_.messages_.push_back({to, encoded_update(peer.held_)});
    peer.held_ = newest_->version_;
    peer.update_on_its_way_ = true;
}

auto publisher::needs_whole_table(const table_version& held) const -> bool
{
    return held.number_ == 0 || std::ranges::find(steps_, held, &step::from_) == steps_.end();
}

// A subscriber may stand in the queue twice or be served meanwhile; those are passed over.
void publisher::admit_whole_tables()
{
    while (whole_tables_on_their_way_ < max_whole_tables_on_their_way &&
           !waiting_for_whole_table_.empty()) {
        const auto next = waiting_for_whole_table_.front();
        waiting_for_whole_table_.pop_front();
        const auto found = subscribers_.find(next);
        if (found != subscribers_.end() && !found->second.update_on_its_way_) {
            send_update(next, found->second);
        }
    }
}

void publisher::end_late_whole_tables()
{
    for (auto& [id, peer] : subscribers_) {
        if (peer.whole_table_since_ && now_ - *peer.whole_table_since_ >= whole_table_timeout) {
            peer.whole_table_since_.reset();
            --whole_tables_on_their_way_;
        }
    }
    admit_whole_tables();
}

auto publisher::encoded_update(const table_version& held) -> std::shared_ptr<const std::string>
{
    auto& encoded = encoded_[held];
    if (encoded) {
        return encoded;
    }
    table_update update{held, newest_->version_, {}};
    const auto start = std::ranges::find(steps_, held, &step::from_);
    if (needs_whole_table(held)) {
        update.from_ = {};
        update.change_.upserts_ = newest_->rows_;
        update.change_.bounds_ = newest_->bounds_;
    }
    else {
        for (auto step = start; step != steps_.end(); ++step) {
            update.change_ = combine(update.change_, step->change_);
        }
    }
    encoded = std::make_shared<const std::string>(encode_message(update));
    return encoded;
}

// One proof covers everybody who asked before it was asked for.
void publisher::ask_for_proof()
{
    if (proof_on_its_way_ || waiting_.empty()) {
        return;
    }
    proof_on_its_way_ = true;
    asking_ = std::move(waiting_);
    waiting_.clear();
    output_.proof_wanted_ = true;
}

void publisher::on_proof(std::uint64_t version)
{
    for (const auto& one : asking_) {
        send(one.from_, currency_proof{one.nonce_, version});
    }
    asking_.clear();
    proof_on_its_way_ = false;
    ask_for_proof();
}

void publisher::on_proof_failed()
{
    waiting_.insert(waiting_.begin(), asking_.begin(), asking_.end());
    asking_.clear();
    proof_on_its_way_ = false;
    ask_for_proof();
}

auto publisher::take_output() -> publisher_output
{
    auto output = std::move(output_);
    output_ = {};
    return output;
}

auto publisher::progress() const -> std::vector<zone_progress>
{
    std::vector<zone_progress> sum;
    for (const auto& [id, peer] : subscribers_) {
        merge_progress(sum, peer.progress_);
    }
    return sum;
}

void merge_progress(std::vector<zone_progress>& sum, const std::vector<zone_progress>& more)
{
    for (const auto& zone : more) {
        const auto found =
            std::ranges::find(sum, zone.availability_zone_, &zone_progress::availability_zone_);
        if (found == sum.end()) {
            sum.push_back(zone);
            continue;
        }
        found->nodes_ += zone.nodes_;
        if (zone.lowest_version_ < found->lowest_version_) {
            found->lowest_version_ = zone.lowest_version_;
            found->at_lowest_ = zone.at_lowest_;
            found->at_lowest_names_ = zone.at_lowest_names_;
        }
        else if (zone.lowest_version_ == found->lowest_version_) {
            found->at_lowest_ += zone.at_lowest_;
            for (const auto& name : zone.at_lowest_names_) {
                if (found->at_lowest_names_.size() < max_behind_names) {
                    found->at_lowest_names_.push_back(name);
                }
            }
        }
    }
}

} // namespace sycamorewinch
