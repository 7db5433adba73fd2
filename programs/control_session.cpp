#include "programs/control_session.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "src/version/control_codec.h"
#include "src/version/state_codec.h"
#include "toucanusher/version/heartbeat_schedule.h"

namespace toucanusher {

namespace {

constexpr std::size_t event_ring_size = 1024;

std::chrono::milliseconds to_milliseconds(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

} // namespace

control_session::control_session(process_context& context, daemon_role role, view_hook on_view)
    : context_(context), role_(role), on_view_(std::move(on_view)),
      contact_({}, make_host_selector(context.config), context.clock.now()),
      events_(event_ring_size), follower_(make_state_codec(), context.process_instance),
      lost_at_(context.clock.now()), last_contact_(time_point{}) {
    duty_ = std::make_unique<duty>("control-link", [this] { run(); });
}

control_session::~control_session() {
    close();
}

void control_session::announce(heartbeat content) {
    {
        std::lock_guard const lock(mutex_);
        content_ = std::move(content);
    }
    (void)events_.try_push(heartbeat_request{}); // if the ring is full, a heartbeat is due anyway
}

void control_session::release(release_buckets command) {
    {
        std::lock_guard const lock(mutex_);
        releases_.push_back(std::move(command));
    }
    (void)events_.try_push(heartbeat_request{});
}

std::chrono::milliseconds control_session::time_since_contact() const {
    return to_milliseconds(context_.clock.now() - last_contact_.load());
}

void control_session::set_seeds(std::vector<endpoint> seeds) {
    if (!events_.try_push(seed_update{std::move(seeds)}))
        context_.counters.count_refusal("control", "ring_full");
}

void control_session::add_announced_hosts(std::vector<endpoint> hosts, log_index version) {
    if (!events_.try_push(host_announcement{std::move(hosts), version}))
        context_.counters.count_refusal("control", "ring_full");
}

void control_session::close() {
    events_.close();
    if (duty_)
        duty_->join();
    link_.reset();
}

void control_session::run() {
    context_.counters.set("control_established", 0);
    connect();
    heartbeat_schedule heartbeats(context_.clock.now());
    while (!events_.finished()) {
        time_point const now = context_.clock.now();
        if (heartbeats.is_due(now)) {
            send_heartbeat(now);
            heartbeats.on_sent(now, is_established() && !contact_.loses_leader());
        }
        if (leave_unresponsive_host(now))
            heartbeats.request(now);
        report_session(now);
        auto event = events_.pop_until(heartbeats.due_at());
        if (!event)
            continue;
        version_number const before = follower_.version();
        if (auto const* received = std::get_if<received_bytes>(&*event)) {
            if (received->link == link_number_)
                on_bytes(context_.clock.now(), received->bytes);
        } else if (auto* seeds = std::get_if<seed_update>(&*event))
            contact_.set_seeds(std::move(seeds->links));
        else if (auto* announced = std::get_if<host_announcement>(&*event))
            on_announcement(context_.clock.now(), std::move(*announced));
        else
            heartbeats.request(context_.clock.now());
        bool const link_changed = std::exchange(link_changed_, false);
        bool const received_part = std::exchange(received_part_, false);
        if (link_changed || received_part)
            heartbeats.request(context_.clock.now());
        bool const has_gap = std::exchange(has_gap_, false);
        bool const is_in_doubt = contact_.answered() && contact_.loses_leader();
        if (has_gap || is_in_doubt || follower_.version() != before)
            heartbeats.on_update(context_.clock.now());
    }
}

// False until the host in use has a leader and, if this daemon follows the state, confirmed it.
bool control_session::is_established() const {
    bool const wants_state = [this] {
        std::lock_guard const lock(mutex_);
        return content_.follows_state;
    }();
    return contact_.has_leader() && (follower_.confirmed() || !wants_state);
}

// Logs when the session is established or lost, and once a second while it is not established.
void control_session::report_session(time_point now) {
    bool const established = is_established();
    if (std::exchange(was_established_, established) != established) {
        lost_at_ = now;
        context_.counters.set("control_established", established ? 1 : 0);
        context_.events->info(event_line("control_session")
                                  .add("what", established ? "established" : "lost")
                                  .add("host", to_string(contact_.host()))
                                  .add("version", value_of(follower_.version())));
    }
    if (established)
        return;
    event_line line("without_control");
    line.add("for", to_milliseconds(now - lost_at_))
        .add("asked", to_string(contact_.host()))
        .add("answered", contact_.answered() ? 1 : 0)
        .add("known_hosts", contact_.directory().size());
    if (auto const age = contact_.leader_contact_age())
        line.add("leader_contact_age", to_milliseconds(*age));
    else
        line.add("leader", "unknown");
    context_.events->rate_limited_warning(line);
}

void control_session::connect() {
    link_.reset();
    std::uint64_t const number = ++link_number_;
    auto link = link_client::open(contact_.host(), [this, number](std::string bytes) {
        if (!events_.try_push(received_bytes{number, std::move(bytes)}))
            context_.counters.count_refusal("control", "ring_full");
    });
    if (link.ok())
        link_ = *std::move(link);
    else
        context_.events->rate_limited_warning(
            event_line("control_link_failed").add("reason", link.status().ToString()));
}

void control_session::send_heartbeat(time_point /*now*/) {
    heartbeat message;
    {
        std::lock_guard const lock(mutex_);
        message = content_;
        message.releases = std::exchange(releases_, {});
    }
    message.name = context_.config.name;
    message.role = role_;
    message.process_instance = context_.process_instance;
    message.applied = follower_.version();
    message.transfer = follower_.transfer();
    // A version that is confirmed before the transfer ends would be older than the newest one then.
    message.wants_confirmation =
        message.follows_state && !follower_.confirmed() && !message.transfer;
    std::string const sealed = context_.sealer->seal(encode_control_message(message));
    if (!link_ || !link_->send(sealed))
        context_.counters.count_refusal("control", "link_send_failed");
    context_.counters.count("heartbeat_sent");
    context_.counters.count("control_bytes_sent", static_cast<double>(sealed.size()));
}

void control_session::on_bytes(time_point now, std::string const& bytes) {
    context_.counters.count("control_bytes_received", static_cast<double>(bytes.size()));
    auto const opened = context_.sealer->open(bytes);
    if (auto const* refusal = std::get_if<seal_refusal>(&opened)) {
        context_.counters.count_refusal("control", to_string(*refusal));
        return;
    }
    auto const message = decode_control_message(std::get<opened_message>(opened).plaintext);
    auto const* update = message.ok() ? std::get_if<state_update>(&*message) : nullptr;
    if (update == nullptr || !std::get<opened_message>(opened).from_fleet()) {
        context_.counters.count_refusal("control", "malformed");
        return;
    }
    endpoint const asked = contact_.host();
    if (contact_.on_update(now, *update) == contact_step::connect)
        follow_directory(asked);
    if (update->directory_only)
        return;
    version_number const before = follower_.version();
    update_outcome const outcome = follower_.on_update(now, *update);
    if (outcome == update_outcome::malformed)
        context_.counters.count_refusal("control", "malformed_update");
    if (outcome == update_outcome::gap) {
        has_gap_ = true;
        context_.counters.count("update_gaps");
        context_.events->rate_limited_warning(event_line("update_gap")
                                                  .add("host", to_string(contact_.host()))
                                                  .add("own", value_of(before))
                                                  .add("base", value_of(update->base))
                                                  .add("newest", value_of(update->newest)));
    }
    last_contact_ = now;
    applied_ = value_of(follower_.version());
    context_.counters.set("applied_version", static_cast<double>(applied_));
    if (follower_.version() != before)
        context_.events->rate_limited_warning(
            event_line("version_applied").add("version", value_of(follower_.version())));
    if (update->snapshot && outcome == update_outcome::applied)
        context_.counters.count("snapshot_applied");
    received_part_ = update->snapshot.has_value();
    time_point const last_leader_contact =
        update->leader_contact_age ? now - *update->leader_contact_age : time_point{};
    on_view_({follower_.state(), follower_.confirmed(), last_leader_contact, contact_.host(),
              contact_.directory(), contact_.directory_version()});
}

void control_session::on_announcement(time_point now, host_announcement announced) {
    endpoint const asked = contact_.host();
    if (contact_.on_announcement(now, std::move(announced.hosts), announced.version) ==
        contact_step::connect)
        follow_directory(asked);
}

// Connects to the host that the contact has taken from a directory, instead of the one asked.
void control_session::follow_directory(endpoint asked) {
    context_.events->rate_limited_warning(event_line("control_elsewhere")
                                              .add("asked", to_string(asked))
                                              .add("next", to_string(contact_.host())));
    connect();
    link_changed_ = true;
}

// Returns true if the link was replaced.
bool control_session::leave_unresponsive_host(time_point now) {
    endpoint const asked = contact_.host();
    if (contact_.on_tick(now) == contact_step::keep)
        return false;
    context_.counters.count("control_host_changed");
    context_.events->rate_limited_warning(event_line("control_silent")
                                              .add("host", to_string(asked))
                                              .add("next", to_string(contact_.host())));
    connect();
    return true;
}

control_host_selector control_session::make_host_selector(daemon_config const& config) {
    std::vector<endpoint> seeds;
    for (auto const& [id, address] : config.control_hosts)
        seeds.push_back(address);
    for (endpoint const& address : seed_link_addresses(config))
        seeds.push_back(address);
    return {std::move(seeds), std::hash<std::string>{}(config.name)};
}

} // namespace toucanusher
