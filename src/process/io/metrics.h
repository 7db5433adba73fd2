// Counters, gauges and histograms of a process, exported in the Prometheus text format.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace toucanusher {

// Safe to use from any thread.
class metrics {
  public:
    metrics();

    // toucanusher_refusals_total{layer,reason}
    void count_refusal(std::string const& layer, std::string const& reason);
    // toucanusher_retries_total{reason}
    void count_retry(std::string const& reason);
    // toucanusher_events_total{event}
    void count(std::string const& event, double by = 1);
    // toucanusher_state{name}
    void set(std::string const& name, double value);
    // toucanusher_request_seconds{outcome}, without refused requests. The outcome `placed` is the
    // time from the opening packet of a flow until an upstream accepts it.
    void observe_seconds(std::string const& outcome, double seconds);

    [[nodiscard]] std::string text() const; // Prometheus text format

  private:
    template <typename Metric>
    using by_labels = std::map<std::pair<std::string, std::string>, Metric*>;

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Family<prometheus::Counter>& events_;
    prometheus::Family<prometheus::Gauge>& state_;
    prometheus::Family<prometheus::Histogram>& seconds_;
    std::mutex mutex_;
    by_labels<prometheus::Counter> refusal_cache_; // avoids a label lookup for each packet
};

} // namespace toucanusher
