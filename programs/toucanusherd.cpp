// The daemon: runs one role, from reading its settings file to a graceful stop.
#include <popt.h>
#include <pthread.h>
#include <sys/stat.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>
#include <tuple>
#include <utility>

#include "platform/calls.h"
#include "programs/agent_process.h"
#include "programs/balancer_process.h"
#include "programs/control_process.h"
#include "programs/control_redirector.h"
#include "programs/packet_agent.h"
#include "programs/packet_balancer.h"
#include "programs/process_context.h"
#include "programs/version_text.h"

namespace toucanusher {

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_unfinished = 3; // stopped with unfinished work
constexpr int stopped_signal = SIGUSR1;
// The settings file may change without a signal. Seeds that are stale for this long do no harm.
constexpr std::chrono::seconds settings_poll_interval{1};

struct arguments {
    std::string config;
    log_start start = log_start::existing;
};

// Blocks the signals that the main thread waits for; every duty inherits the mask.
sigset_t block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (int const signal_number : {SIGTERM, SIGINT, SIGHUP, stopped_signal})
        sigaddset(&signals, signal_number);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    struct sigaction ignore {};
    ignore.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &ignore, nullptr);
    return signals;
}

absl::StatusOr<std::unique_ptr<daemon_process>> make_process(process_context& context,
                                                             log_start start) {
    front_end const front = platform::make_front_end();
    switch (context.config.role) {
    case process_role::balancer:
        return context.config.packets ? make_packet_balancer(context, front)
                                      : make_balancer_process(context);
    case process_role::agent:
        return context.config.packets ? make_packet_agent(context, front)
                                      : make_agent_process(context);
    case process_role::control:
        if (context.config.discovered_control && context.config.data_folder.empty())
            return make_control_redirector(context, front.operator_api);
        return make_control_process(context, start, front.operator_api);
    }
    return absl::InternalError("unknown role");
}

// Returns a number that grows from one start of a daemon to the next if the host's clock does.
std::uint64_t make_process_instance() {
    constexpr unsigned random_bits = 16;
    auto const started = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::uint64_t const random = make_system_random()() >> (64 - random_bits);
    return (static_cast<std::uint64_t>(started.count()) << random_bits) | random;
}

void reload_keys(process_context& context) {
    if (!context.keys)
        return;
    auto keys = keyring::load(context.config.key_file);
    if (!keys.ok()) {
        context.events->error(
            event_line("keys_not_reloaded").add("reason", keys.status().ToString()));
        return;
    }
    context.keys->replace(*std::move(keys));
    context.events->info(event_line("keys_reloaded"));
}

// Only seeds can change while a process runs; all else is fixed by the addresses that it has
// opened.
void reload_seeds(process_context& context, daemon_process& process, std::string const& path) {
    auto const reloaded = load_daemon_config(path);
    if (!reloaded.ok()) {
        context.events->error(
            event_line("settings_not_reloaded").add("reason", reloaded.status().ToString()));
        return;
    }
    if (reloaded->seeds == context.config.seeds)
        return;
    context.config.seeds = reloaded->seeds;
    process.set_seeds(seed_link_addresses(context.config));
    context.events->info(event_line("settings_reloaded").add("seeds", reloaded->seeds.size()));
}

// Detects changes of a file by its modification time, size and inode.
class file_watcher {
  public:
    explicit file_watcher(std::string path) : path_(std::move(path)) { (void)changed(); }

    bool changed() {
        struct stat info {};
        if (::stat(path_.c_str(), &info) != 0)
            return false; // the file is being replaced; the next poll finds it
        auto const state =
            std::tuple(info.st_mtim.tv_sec, info.st_mtim.tv_nsec, info.st_size, info.st_ino);
        return std::exchange(last_state_, state) != state;
    }

  private:
    std::string path_;
    std::tuple<time_t, long, off_t, ino_t> last_state_{};
};

// Waits for signals until the process has stopped. Returns the exit code.
int wait_until_stopped(process_context& context, daemon_process& process, sigset_t const& signals,
                       std::string const& settings) {
    file_watcher watch(settings);
    bool stopping = false;
    time_point deadline{};
    for (;;) {
        int signal_number = 0;
        if (!stopping) {
            timespec const wait{settings_poll_interval.count(), 0};
            signal_number = sigtimedwait(&signals, nullptr, &wait);
            if (signal_number < 0) {
                if (watch.changed())
                    reload_seeds(context, process, settings);
                continue;
            }
        } else {
            auto const remaining = std::max(duration{}, deadline - context.clock.now());
            auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(remaining);
            timespec const wait{seconds.count(), (remaining - seconds).count()};
            signal_number = sigtimedwait(&signals, nullptr, &wait);
        }
        if (signal_number == stopped_signal) {
            context.events->info(event_line("stopped"));
            return stopping ? exit_ok : exit_failed;
        }
        if (signal_number == SIGHUP) {
            reload_keys(context);
            reload_seeds(context, process, settings);
        } else if (!stopping) {
            stopping = true;
            deadline = context.clock.now() + context.config.shutdown_deadline;
            context.events->info(event_line("stopping"));
            process.begin_stop();
        } else {
            context.events->warning(
                event_line("stopped_early").add("cut_off", process.unfinished_work()));
            return exit_unfinished;
        }
    }
}

bool load_keys(process_context& context) {
    std::string const& path = context.config.key_file;
    if (path.empty()) {
        context.sealer = std::make_unique<envelope>();
        return true;
    }
    auto keys = keyring::load(path);
    if (!keys.ok()) {
        std::fprintf(stderr, "%s\n", std::string(keys.status().message()).c_str());
        return false;
    }
    if (keys->current.empty() || !keys->steering) {
        std::fprintf(stderr, "%s: [fleet] must set current and steering\n", path.c_str());
        return false;
    }
    context.keys = std::make_unique<key_store>(*std::move(keys));
    context.sealer = make_envelope(*context.keys);
    return true;
}

int run(arguments const& args) {
    auto config = load_daemon_config(args.config);
    if (!config.ok()) {
        std::fprintf(stderr, "%s\n", std::string(config.status().message()).c_str());
        return exit_failed;
    }
    sigset_t const signals = block_signals();
    process_context context;
    context.config = *std::move(config);
    if (!load_keys(context))
        return exit_failed;
    context.events = std::make_unique<event_log>(context.clock);
    context.process_instance = make_process_instance();
    context.on_stopped = [main = pthread_self()] { pthread_kill(main, stopped_signal); };
    auto process = make_process(context, args.start);
    if (!process.ok()) {
        context.events->error(
            event_line("start_failed").add("reason", process.status().ToString()));
        return exit_failed;
    }
    context.events->info(event_line("started").add("name", context.config.name));
    return wait_until_stopped(context, **process, signals, args.config);
}

} // namespace

} // namespace toucanusher

int main(int argc, char const** argv) {
    char* config = nullptr;
    int new_cluster = 0;
    int join = 0;
    int version = 0;
    poptOption const options[] = {
        {"config", 'c', POPT_ARG_STRING, &config, 0, "Settings file", "FILE"},
        {"new-cluster", 0, POPT_ARG_NONE, &new_cluster, 0,
         "Control: start a new log with all control hosts of the settings", nullptr},
        {"join", 0, POPT_ARG_NONE, &join, 0,
         "Control: start empty and wait to be added to a running log", nullptr},
        {"version", 0, POPT_ARG_NONE, &version, 0, "Print the version", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext const parser = poptGetContext("toucanusherd", argc, argv, options, 0);
    int const parse_result = poptGetNextOpt(parser);
    bool const has_extra_arguments = poptPeekArg(parser) != nullptr;
    if (version != 0) {
        std::printf("toucanusherd %s\n", toucanusher::version_text);
        poptFreeContext(parser);
        return toucanusher::exit_ok;
    }
    if (parse_result < -1 || has_extra_arguments || config == nullptr ||
        (new_cluster != 0 && join != 0)) {
        poptPrintUsage(parser, stderr, 0);
        poptFreeContext(parser);
        return toucanusher::exit_usage;
    }
    toucanusher::arguments args;
    args.config = config;
    if (new_cluster != 0)
        args.start = toucanusher::log_start::new_cluster;
    if (join != 0)
        args.start = toucanusher::log_start::join;
    std::free(config);
    poptFreeContext(parser);
    toucanusher::start_logging("toucanusherd", toucanusher::log_stream::standard_output);
    if (!toucanusher::initialize_crypto())
        return toucanusher::exit_failed;
    return toucanusher::run(args);
}
