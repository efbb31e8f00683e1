/** \file
 * Lesson 4: from an accepted table to one in force. A publisher sends the table down; a subscriber
 * holds it, and enforces it only once a quorum has proved, after the subscriber started, what the
 * current version is. Here the messages between the two are carried by hand.
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

/** Carries what the subscriber wants to say up to the publisher. */
void carry_up(subscriber& from, publisher& to)
{
    constexpr subscriber_id only_subscriber = 1;
    for (const auto& message : from.take_output().messages_) {
        to.on_message(only_subscriber, message);
    }
}

/** Carries what the publisher sends down; returns whether it asks for a proof. */
auto carry_down(publisher& from, subscriber& to) -> bool
{
    const auto output = from.take_output();
    for (const auto& message : output.messages_) {
        const auto read = decode_distribution_message(*message.bytes_);
        lesson::shows("a message is understood", to.on_message(read.value()).has_value());
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
    carry_up(node, upstream);
    const bool asks = carry_down(upstream, node);
    lesson::shows("the node holds version 8", node.held()->version_.number_ == 8);
    lesson::shows("it enforces nothing yet", node.enforced() == nullptr);
    lesson::shows("the hub asks its upstream for a proof", asks);

    // The quorum says that 9 is current. What the node holds is too old to be enforced.
    upstream.on_proof(9);
    carry_down(upstream, node);
    lesson::shows("an older table is not enforced", node.enforced() == nullptr);

    // Version 9 arrives, as one step from 8.
    upstream.set_table(make_version(9));
    carry_up(node, upstream);
    node.report_progress({{"zone-a", 1, 0, 1, {"node-1"}}}); // also acknowledges the update
    carry_up(node, upstream);
    carry_down(upstream, node);
    lesson::shows("version 9 is in force",
                  node.enforced() != nullptr && node.enforced()->version_.number_ == 9);
    return EXIT_SUCCESS;
}
