// A balancer's or agent's session with control: sends heartbeats, applies state updates, replaces
// silent links and moves on to another control host when one does not answer.
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
#include "toucanusher/connection/link_monitor.h"
#include "toucanusher/process/duty.h"
#include "toucanusher/process/ring.h"
#include "toucanusher/version/control_contacts.h"
#include "toucanusher/version/state_follower.h"

namespace toucanusher {

struct control_news {
    std::shared_ptr<fleet_state const> state;
    bool confirmed = false;
    time_point heard{}; // control, with a leader in touch
    endpoint host;      // that said so
    std::vector<endpoint> control_hosts;
};

class control_session {
  public:
    // Called on the session's duty whenever something was heard.
    using news_hook = std::function<void(control_news)>;

    control_session(process_context& context, daemon_role role, news_hook on_news);
    ~control_session();
    control_session(control_session const&) = delete;
    control_session& operator=(control_session const&) = delete;

    // Replaces what the heartbeats say; name, role, process and version are filled in.
    void announce(heartbeat content);
    // Adds something that is said once.
    void release(release_buckets command);
    [[nodiscard]] version_number applied() const { return version_number{applied_.load()}; }
    [[nodiscard]] std::chrono::milliseconds silence() const;
    // Control hosts to try besides those that control itself names.
    void set_seeds(std::vector<endpoint> seeds);
    void close();

  private:
    struct beat_now {};
    struct new_seeds {
        std::vector<endpoint> links;
    };
    // Sealed bytes, a wish to speak, or other seeds.
    using event = std::variant<std::string, beat_now, new_seeds>;

    void run();
    [[nodiscard]] bool settled() const;
    void connect();
    void send_heartbeat(time_point now);
    void on_bytes(time_point now, std::string const& bytes);
    void on_directory(std::vector<endpoint> const& control_hosts);
    bool take_step(link_step step);
    static control_contacts make_contacts(daemon_config const& config);

    process_context& context_;
    daemon_role role_;
    news_hook on_news_;
    control_contacts contacts_; // only the duty touches it
    ring<event> events_;
    std::unique_ptr<link_client> link_; // only the duty touches it
    state_follower follower_;           // only the duty touches it
    link_monitor monitor_;
    bool ask_again_ = false; // an update came that does not follow on what is applied
    bool new_link_ = false;  // that has heard nothing from this daemon yet
    mutable std::mutex mutex_;
    heartbeat content_;                     // guarded by mutex_
    std::vector<release_buckets> releases_; // guarded by mutex_
    std::atomic<std::uint64_t> applied_{0};
    std::atomic<time_point> heard_;
    std::unique_ptr<duty> duty_;
};

} // namespace toucanusher
