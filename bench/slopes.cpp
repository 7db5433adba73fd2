// Measures memory, time and message sizes, each at three sizes, and fits a straight line. Prints
// the CSV from which docs/CAPACITY.md is computed.
#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include "bench/bench_fleet.h"
#include "src/process/io/envelope.h"
#include "src/process/io/log_store.h"
#include "src/request/request_codec.h"
#include "src/version/control_codec.h"
#include "src/version/fleet_codec.h"
#include "src/version/state_codec.h"
#include "toucanusher/connection/flow_replica_store.h"
#include "toucanusher/connection/flow_table.h"
#include "toucanusher/connection/packet_steering.h"
#include "toucanusher/request/admission_queue.h"
#include "toucanusher/request/run_record_store.h"
#include "toucanusher/version/state_follower.h"

namespace toucanusher::bench {

namespace {

using sample = std::pair<double, double>; // size, value
constexpr time_point now{std::chrono::hours{1}};

struct line {
    double slope = 0;
    double base = 0;
};

line fit(std::vector<sample> const& samples) {
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (auto const& [x, y] : samples) {
        n += 1;
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    double const slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    return {slope, (sy - slope * sx) / n};
}

void print(char const* name, char const* unit, std::vector<sample> const& samples) {
    line const fitted = fit(samples);
    std::printf("%s,%s,%.6g,%.6g,", name, unit, fitted.slope, fitted.base);
    for (auto const& [size, value] : samples)
        std::printf("%s%g:%.6g", &samples.front().first == &size ? "" : ";", size, value);
    std::printf("\n");
}

double heap_bytes() {
    struct mallinfo2 const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

// Returns the heap bytes that the object returned by `make` occupies.
template <typename Make>
double retained_bytes(Make make) {
    double const before = heap_bytes();
    auto const kept = make();
    double const after = heap_bytes();
    (void)kept;
    return after - before;
}

// Returns the nanoseconds of one call, the best of 5 attempts.
double nanoseconds(std::size_t calls, std::function<void()> const& run) {
    double best = 1e18;
    for (int attempt = 0; attempt < 5; ++attempt) {
        auto const started_at = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < calls; ++i)
            run();
        auto const elapsed = std::chrono::steady_clock::now() - started_at;
        best = std::min(best, std::chrono::duration<double, std::nano>(elapsed).count() /
                                  static_cast<double>(calls));
    }
    return best;
}

std::vector<sample> sample_at(std::vector<double> const& sizes,
                              std::function<double(double)> const& measure) {
    std::vector<sample> samples;
    for (double const size : sizes)
        samples.emplace_back(size, measure(size));
    return samples;
}

void measure_memory() {
    print("flow_bytes", "bytes/flow", sample_at({2000, 10000, 50000}, [](double count) {
              return retained_bytes([&] {
                  auto table = std::make_unique<flow_table>(
                      flow_table_options{.max_flows = static_cast<std::uint32_t>(count)});
                  for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(count); ++i)
                      table->open(now, make_flow(i), bucket_number{i % buckets_per_service});
                  return table;
              });
          }));
    print("witness_bytes", "bytes/flow", sample_at({2000, 10000, 50000}, [](double count) {
              return retained_bytes([&] {
                  auto book = std::make_unique<flow_replica_store>(1);
                  replication_batch store;
                  for (std::uint32_t i = 1; i <= static_cast<std::uint32_t>(count); ++i)
                      store.opened.push_back({make_flow(i), i});
                  (void)book->store(store);
                  store = {};
                  return book;
              });
          }));
    print("service_state_bytes", "bytes/service", sample_at({100, 400, 1300}, [](double count) {
              return retained_bytes([&] { return make_fleet(static_cast<std::size_t>(count), 0); });
          }));
    print("target_state_bytes", "bytes/target", sample_at({1300, 2600, 4500}, [](double count) {
              return retained_bytes(
                  [&] { return make_fleet(1300, static_cast<std::size_t>(count)); });
          }));
    print("write_bytes", "bytes/write", sample_at({500, 2000, 8000}, [](double count) {
              return retained_bytes([&] {
                  auto state = std::make_unique<fleet_state>();
                  for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i)
                      state->apply(write_claim{"r" + std::to_string(i),
                                               {"team", {"s" + std::to_string(i % 100), "slots"}},
                                               "5",
                                               10,
                                               {}});
                  return state;
              });
          }));
    print("queued_request_bytes", "bytes/request", sample_at({500, 2000, 8000}, [](double count) {
              return retained_bytes([&] {
                  auto queue =
                      std::make_unique<admission_queue>(admission_options{.queue_length = 10000});
                  for (std::uint64_t i = 0; i < static_cast<std::uint64_t>(count); ++i)
                      queue->push(
                          now, {{i, i}, request_class::normal, "team", now + std::chrono::hours{1}},
                          {}, 3);
                  return queue;
              });
          }));
    print("run_claim_bytes", "bytes/claim", sample_at({2000, 10000, 50000}, [](double count) {
              return retained_bytes([&] {
                  auto store =
                      std::make_unique<run_record_store>(run_record_store_options{}, std::nullopt);
                  for (std::uint64_t i = 0; i < static_cast<std::uint64_t>(count); ++i) {
                      run_record_request request;
                      request.id = {i, i};
                      (void)store->record_run(now, request, true);
                  }
                  return store;
              });
          }));
}

void measure_messages(envelope const& sealer) {
    auto const sealed = [&](control_message const& message) {
        return static_cast<double>(sealer.seal(encode_control_message(message)).size());
    };
    print("heartbeat_wire", "bytes/upstream", sample_at({1, 4, 7}, [&](double count) {
              heartbeat message;
              message.name = "agent-000";
              message.process_instance = ~0ULL;
              message.applied = version_number{1000000};
              for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i)
                  message.upstreams.push_back(make_upstream(i, i));
              return sealed(message);
          }));
    print("update_wire_membership", "bytes/change", sample_at({1, 8, 64}, [&](double count) {
              state_update update;
              update.newest = version_number{1000000};
              update.base = version_number{1000000};
              for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i)
                  update.commands.push_back(encode_fleet_command(announce_upstream{
                      make_upstream(i, i), wall_time{std::chrono::hours{480000}}}));
              return sealed(update);
          }));
    print("update_wire_setting", "bytes/change", sample_at({1, 8, 64}, [&](double count) {
              state_update update;
              update.newest = version_number{1000000};
              update.base = version_number{1000000};
              for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i)
                  update.commands.push_back(
                      encode_fleet_command(write_claim{"0123456789abcdef",
                                                       {"growers", {"service-1", "queue_length"}},
                                                       "100",
                                                       10,
                                                       {}}));
              return sealed(update);
          }));
    print("release_wire", "bytes/bucket", sample_at({1, 100, 300}, [&](double count) {
              release_buckets release;
              for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(count); ++i)
                  release.buckets.push_back(bucket_number{i * 3});
              return static_cast<double>(encode_fleet_command(release).size());
          }));
    print("snapshot_wire", "bytes/target", sample_at({1300, 2600, 4500}, [](double count) {
              return static_cast<double>(
                  encode_fleet_state(*make_fleet(1300, static_cast<std::size_t>(count))).size());
          }));
    print("lease_report_wire", "bytes/daemon", sample_at({20, 100, 330}, [&](double count) {
              lease_report report;
              for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(count); ++i)
                  report.daemons.push_back({"agent-" + std::to_string(i), daemon_role::agent,
                                            version_number{1000000}, std::vector<upstream_ref>(7),
                                            std::nullopt});
              return sealed(report);
          }));
    print("open_flow_wire", "bytes/flow", sample_at({1, 10, 40}, [&](double count) {
              replication_batch store;
              for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(count); ++i)
                  store.opened.push_back({make_flow(i), i});
              return static_cast<double>(
                  sealer.seal(encode_agent_message(flow_message{store})).size());
          }));
}

void measure_time(envelope const& sealer) {
    print("steer_ns", "ns/packet over targets", sample_at({7, 100, 1000}, [](double count) {
              packet_steering steering({"b", {}}, hash_flow);
              steering.apply_state(now, make_fleet(1, static_cast<std::size_t>(count)));
              std::uint32_t i = 0;
              return nanoseconds(200000, [&] {
                  (void)steering.steer(
                      now, {service_address(0), make_flow(i++).caller, transport::udp, {}});
              });
          }));
    print("packet_edge_ns", "ns/payload byte", sample_at({100, 500, 1400}, [&](double size) {
              flow_packet packet;
              packet.payload = std::string(static_cast<std::size_t>(size), 'x');
              return nanoseconds(20000, [&] {
                  auto const opened =
                      sealer.open(sealer.seal(encode_agent_message(flow_message{packet})));
                  (void)decode_agent_message(std::get<opened_message>(opened).plaintext);
              });
          }));
    print("apply_membership_ns", "ns/target", sample_at({1300, 2600, 4500}, [](double count) {
              auto const state = make_fleet(1300, static_cast<std::size_t>(count));
              std::uint64_t incarnation_number = 1000000;
              return nanoseconds(20, [&] {
                  fleet_state next = *state;
                  upstream_announcement announcement = make_upstream(1, 1);
                  announcement.incarnation = incarnation_id{incarnation_number++};
                  next.apply(announce_upstream{announcement, {}});
              });
          }));
    print("adopt_ns", "ns/service", sample_at({100, 400, 1300}, [](double count) {
              auto const services = static_cast<std::size_t>(count);
              std::vector<std::shared_ptr<fleet_state>> states = {
                  make_fleet(services, services * 7 / 2)};
              for (int i = 0; i < 120; ++i) {
                  states.push_back(std::make_shared<fleet_state>(*states.back()));
                  states.back()->apply(remove_balancer{});
              }
              packet_steering steering({"b", {}}, hash_flow);
              std::size_t next = 0;
              return nanoseconds(20, [&] { steering.apply_state(now, states[next++]); });
          }));
    print("snapshot_decode_ns", "ns/target", sample_at({1300, 2600, 4500}, [](double count) {
              std::string const bytes =
                  encode_fleet_state(*make_fleet(1300, static_cast<std::size_t>(count)));
              return nanoseconds(3, [&] { (void)decode_fleet_state(bytes); });
          }));
    print("snapshot_encode_ns", "ns/target", sample_at({1300, 2600, 4500}, [](double count) {
              auto const state = make_fleet(1300, static_cast<std::size_t>(count));
              return nanoseconds(3, [&] { (void)encode_fleet_state(*state); });
          }));
    print("heartbeat_handle_ns", "ns/upstream", sample_at({1, 4, 7}, [&](double count) {
              heartbeat message;
              message.name = "agent-000";
              for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i)
                  message.upstreams.push_back(make_upstream(i, i));
              std::string const bytes = sealer.seal(encode_control_message(message));
              return nanoseconds(5000, [&] {
                  auto const opened = sealer.open(bytes);
                  (void)decode_control_message(std::get<opened_message>(opened).plaintext);
              });
          }));
}

void measure_disk() {
    std::string const folder = std::filesystem::temp_directory_path() /
                               ("toucanusher-slopes-" + std::to_string(::getpid()));
    auto const entry = [](log_index index) {
        disk_write write;
        write.sequence = index;
        write.entries.push_back({1, index, entry_kind::command, std::string(150, 'c'), {}});
        return write;
    };
    print("log_sync_ns", "ns/entry in one sync", sample_at({1, 16, 64}, [&](double count) {
              std::filesystem::remove_all(folder);
              auto store = log_store::open(folder);
              log_index index = 1;
              return nanoseconds(20, [&] {
                  std::vector<disk_write> batch;
                  for (int i = 0; i < static_cast<int>(count); ++i)
                      batch.push_back(entry(index++));
                  (void)(*store)->append(batch);
              });
          }));
    print("log_replay_ns", "ns/entry", sample_at({500, 2000, 8000}, [&](double count) {
              std::filesystem::remove_all(folder);
              {
                  auto store = log_store::open(folder);
                  std::vector<disk_write> batch;
                  for (log_index i = 1; i <= static_cast<log_index>(count); ++i)
                      batch.push_back(entry(i));
                  (void)(*store)->append(batch);
              }
              return nanoseconds(1, [&] { (void)log_store::open(folder); });
          }));
    std::filesystem::remove_all(folder);
}

} // namespace

} // namespace toucanusher::bench

int main() {
    using namespace toucanusher;
    if (!initialize_crypto())
        return 1;
    keyring keys;
    keys.current = "fleet:01234567";
    keys.keys[keys.current] = {};
    key_store const store(keys);
    auto const sealer = make_envelope(store);
    std::printf("name,unit,slope,base,samples\n");
    bench::measure_memory();
    bench::measure_messages(*sealer);
    bench::measure_time(*sealer);
    bench::measure_disk();
    return 0;
}
