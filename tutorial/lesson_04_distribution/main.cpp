/** \file
 * Lesson 4: distributing an accepted table. A publisher sends the table to a subscriber. The
 * subscriber enforces it only after a proof, made by a quorum since the subscriber started, of
 * which version is current. This lesson passes the messages between the two by function calls.
 */
#include "../lesson.h"
#include "distribution/publisher.h"
#include "distribution/subscriber.h"

using namespace sycamorewinch;

namespace {

auto make_version(std::uint64_t number) -> table_pointer
{
    row one{.service_ = "dialer", .path_prefix_ = "/dialer"};
    one.retries_ = static_cast<std::uint32_t>(number);
    return std::make_shared<const table>(make_table(number, {one}));
}

/** Delivers the messages of the subscriber to the publisher. */
void deliver_up(subscriber& from, publisher& to)
{
    constexpr subscriber_id only_subscriber = 1;
    for (const auto& message : from.take_output().messages_) {
        to.on_message(only_subscriber, message);
    }
}

/** Delivers the messages of the publisher to the subscriber; returns whether the publisher requests
 * a proof. */
auto deliver_down(publisher& from, subscriber& to) -> bool
{
    const auto output = from.take_output();
    for (const auto& message : output.messages_) {
        const auto read = decode_distribution_message(*message.bytes_);
        lesson::check("the subscriber accepts a message", to.on_message(read.value()).has_value());
    }
    return output.proof_wanted_;
}

} // namespace

auto main() -> int
{
    publisher upstream;
    subscriber node({"node-1", "zone-a", false, seeded_random(1)});
    upstream.set_table(make_version(8));

    node.on_connected(instant{});
    deliver_up(node, upstream);
    const bool proof_requested = deliver_down(upstream, node);
    lesson::check("the node holds version 8", node.held()->version_.number_ == 8);
    lesson::check("the node enforces no table yet", node.enforced() == nullptr);
    lesson::check("the publisher requests a proof from its upstream", proof_requested);

    // The quorum confirmed that version 9 is current (and no roll-out was ordered), so the node
    // must not enforce version 8.
    upstream.on_proof(9, 0);
    deliver_down(upstream, node);
    lesson::check("an older table is not enforced", node.enforced() == nullptr);

    // Version 9 arrives as a change relative to version 8.
    upstream.set_table(make_version(9));
    deliver_up(node, upstream);
    node.report_progress({{"zone-a", 1, 0, 1, {"node-1"}}}); // also acknowledges the update
    deliver_up(node, upstream);
    deliver_down(upstream, node);
    lesson::check("version 9 is in force",
                  node.enforced() != nullptr && node.enforced()->version_.number_ == 9);
    return EXIT_SUCCESS;
}
