#include "daemon/publisher_server.h"

#include "observability/log.h"

namespace sycamorewinch {

publisher_server::publisher_server(metrics_registry& metrics, publisher_server_hooks hooks)
    : hooks_(std::move(hooks)),
      bad_messages_(metrics.count("sycamorewinch_hub_bad_messages_total",
                                  "Messages from subscribers that could not be decoded.")),
      bad_records_(metrics.count("sycamorewinch_hub_bad_records_total",
                                 "Records in messages from subscribers that were skipped because "
                                 "they could not be decoded.")),
      bytes_sent_(metrics.count("sycamorewinch_hub_bytes_sent_total",
                                "Bytes of messages sent to subscribers.")),
      subscribers_(metrics.gauge("sycamorewinch_hub_subscribers", "Connected subscribers.")),
      stale_targets_(
          metrics.gauge("sycamorewinch_hub_stale_targets",
                        "Targets kept although no process renews their leases any more."))
{
}

auto publisher_server::accept(const std::shared_ptr<h2_connection>& connection, stream_id stream)
    -> stream_hooks
{
    if (hooks_.has_quorum_contact_ && !hooks_.has_quorum_contact_()) {
        connection->respond(stream, {{":status", "503"}},
                            true); // the subscriber tries another publisher immediately
        return {};
    }
    const auto id = next_id_++;
    channel_hooks hooks;
    hooks.on_message_ = [this, id](std::string_view bytes) {
        on_message(id, bytes);
    };
    hooks.on_closed_ = [this, id] {
        channels_.erase(id);
        publisher_.on_subscriber_disconnected(id);
        process_output();
    };
    stream_hooks stream_hooks;
    channels_[id] = message_channel::accept(connection, stream, std::move(hooks), stream_hooks);
    return stream_hooks;
}

void publisher_server::on_message(subscriber_id from, std::string_view bytes)
{
    const auto message = decode_distribution_message(bytes, [this, from](const error& problem) {
        bad_records_.add();
        log_event(
            log_level::warning, "bad_subscriber_record",
            {{"subscriber", publisher_.name_of_subscriber(from)}, {"reason", problem.message_}});
    });
    if (!message) {
        // The subscriber would send the same again on its next channel, which would keep it from
        // tables for good.
        bad_messages_.add();
        log_event(log_level::warning, "bad_subscriber_message",
                  {{"subscriber", publisher_.name_of_subscriber(from)},
                   {"reason", message.error().message_}});
        return;
    }
    publisher_.set_currency_age(hooks_.currency_age_ ? hooks_.currency_age_() : std::nullopt);
    publisher_.on_message(from, *message);
    process_output();
}

void publisher_server::disconnect(subscriber_id id)
{
    const auto found = channels_.find(id);
    if (found != channels_.end()) {
        const auto channel = found->second; // keeps it alive: close() erases it from the map
        channel->close();
    }
}

void publisher_server::process_output()
{
    const auto output = publisher_.take_output();
    subscribers_.set(publisher_.subscriber_count());
    for (const auto& message : output.messages_) {
        const auto found = channels_.find(message.to_);
        if (found != channels_.end()) {
            bytes_sent_.add(message.bytes_->size());
            const auto channel = found->second;
            channel->send(*message.bytes_);
        }
    }
    stale_targets_.set(publisher_.stale_targets());
    for (const auto& updates : output.target_updates_) {
        hooks_.on_target_updates_(updates);
    }
    if (!output.crashes_.empty()) {
        hooks_.on_crash_updates_(output.crashes_);
    }
    if (!output.version_reports_.empty() && hooks_.on_version_reports_) {
        hooks_.on_version_reports_(output.version_reports_);
    }
    if (output.progress_changed_) {
        hooks_.on_progress_();
    }
    if (output.proof_wanted_) {
        hooks_.on_proof_requested_();
    }
    for (const auto id : output.to_disconnect_) {
        disconnect(id);
    }
}

} // namespace sycamorewinch
