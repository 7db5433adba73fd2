// A balancer's or agent's session with control: sends heartbeats, applies state updates, replaces
// unresponsive links and switches to another control host when the one in use does not answer.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include "programs/process_context.h"
#include "src/process/io/link.h"
#include "toucanusher/connection/control_contact.h"
#include "toucanusher/process/duty.h"
#include "toucanusher/process/ring.h"
#include "toucanusher/version/state_follower.h"

namespace toucanusher {

// What a session knows of control and of the fleet's state.
struct control_view {
    std::shared_ptr<fleet_state const> state;
    bool confirmed = false;
    time_point last_leader_contact{}; // of the control host in use with a leader
    endpoint host;                    // control host in use
    std::vector<endpoint> control_hosts;
    log_index directory_version = 0; // of control_hosts
};

class control_session {
  public:
    // Called on the session's duty after every state update.
    using view_hook = std::function<void(control_view)>;

    control_session(process_context& context, daemon_role role, view_hook on_view);
    ~control_session();
    control_session(control_session const&) = delete;
    control_session& operator=(control_session const&) = delete;

    // Replaces the content of the heartbeats and sends one. The session fills in the name, role,
    // process and version.
    void announce(heartbeat content);
    // Sends the command once, with the next heartbeat.
    void release(release_buckets command);
    [[nodiscard]] version_number applied() const { return version_number{applied_.load()}; }
    // Time since the last state update.
    [[nodiscard]] std::chrono::milliseconds time_since_contact() const;
    // Replaces the seeds: addresses that are tried besides the hosts that control names.
    void set_seeds(std::vector<endpoint> seeds);
    // Adds control hosts that announced themselves to this process.
    void add_announced_hosts(std::vector<endpoint> hosts, log_index version);
    void close();

  private:
    struct heartbeat_request {};
    struct seed_update {
        std::vector<endpoint> links;
    };
    struct host_announcement {
        std::vector<endpoint> hosts;
        log_index version = 0;
    };
    struct received_bytes {
        std::uint64_t link = 0;
        std::string bytes;
    };
    // Sealed bytes from control, a heartbeat to send at once, new seeds or announced hosts.
    using event = std::variant<received_bytes, heartbeat_request, seed_update, host_announcement>;

    void run();
    [[nodiscard]] bool is_established() const;
    void report_session(time_point now);
    void connect();
    void send_heartbeat(time_point now);
    void on_bytes(time_point now, std::string const& bytes);
    void on_announcement(time_point now, host_announcement announced);
    void follow_directory(endpoint asked);
    bool leave_unresponsive_host(time_point now);
    static control_host_selector make_host_selector(daemon_config const& config);

    process_context& context_;
    daemon_role role_;
    view_hook on_view_;
    control_contact contact_; // used by the duty only
    ring<event> events_;
    std::unique_ptr<link_client> link_; // used by the duty only
    std::uint64_t link_number_ = 0;     // of link_; what an earlier link received is dropped
    state_follower follower_;           // used by the duty only
    bool was_established_ = false;
    time_point lost_at_{};       // start of the time without an established session
    bool has_gap_ = false;       // an update does not follow the applied version
    bool link_changed_ = false;  // no heartbeat was sent on the link yet
    bool received_part_ = false; // a part of a snapshot is to be acknowledged
    mutable std::mutex mutex_;
    heartbeat content_;                     // guarded by mutex_
    std::vector<release_buckets> releases_; // guarded by mutex_
    std::atomic<std::uint64_t> applied_{0};
    std::atomic<time_point> last_contact_;
    std::unique_ptr<duty> duty_;
};

} // namespace toucanusher
