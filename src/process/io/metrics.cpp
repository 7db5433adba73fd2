#include "src/process/io/metrics.h"

#include <prometheus/text_serializer.h>

namespace toucanusher {

metrics::metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      refusals_(prometheus::BuildCounter()
                    .Name("toucanusher_refusals_total")
                    .Help("Work that was refused, by layer and reason")
                    .Register(*registry_)),
      retries_(prometheus::BuildCounter()
                   .Name("toucanusher_retries_total")
                   .Help("Attempts beyond the first, and those that were held back, by reason")
                   .Register(*registry_)),
      events_(prometheus::BuildCounter()
                  .Name("toucanusher_events_total")
                  .Help("Things that happened, by kind")
                  .Register(*registry_)),
      state_(prometheus::BuildGauge()
                 .Name("toucanusher_state")
                 .Help("Current figures, by name")
                 .Register(*registry_)),
      seconds_(prometheus::BuildHistogram()
                   .Name("toucanusher_request_seconds")
                   .Help("Time from arrival to outcome of requests that were run")
                   .Register(*registry_)) {}

void metrics::count_refusal(std::string const& layer, std::string const& reason) {
    std::lock_guard const lock(mutex_);
    auto& counter = refusal_cache_[{layer, reason}];
    if (counter == nullptr)
        counter = &refusals_.Add({{"layer", layer}, {"reason", reason}});
    counter->Increment();
}

void metrics::count_retry(std::string const& reason) {
    retries_.Add({{"reason", reason}}).Increment();
}

void metrics::count(std::string const& event, double by) {
    events_.Add({{"event", event}}).Increment(by);
}

void metrics::set(std::string const& name, double value) {
    state_.Add({{"name", name}}).Set(value);
}

void metrics::observe_seconds(std::string const& outcome, double seconds) {
    static prometheus::Histogram::BucketBoundaries const bounds = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};
    seconds_.Add({{"outcome", outcome}}, bounds).Observe(seconds);
}

std::string metrics::text() const {
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace toucanusher
