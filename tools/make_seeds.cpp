// Writes the seed corpora of the fuzzers into the given folder: valid messages of each kind.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include "src/connection/forwarded_codec.h"
#include "src/process/log_codec.h"
#include "src/request/request_codec.h"
#include "src/version/control_codec.h"
#include "src/version/fleet_codec.h"

namespace toucanusher::tools {

namespace {

void write_seed(std::string const& folder, std::string const& fuzzer, std::string const& name,
                std::string const& bytes) {
    std::filesystem::create_directories(folder + "/" + fuzzer);
    std::ofstream(folder + "/" + fuzzer + "/" + name, std::ios::binary) << bytes;
}

fleet_state make_state() {
    fleet_state state;
    state.apply(write_claim{"1", {"a", {"batch", "slots"}}, "3", 5, {}});
    upstream_announcement announcement;
    announcement.service = "batch";
    announcement.name = "u1";
    announcement.zone = "z";
    state.apply(announce_upstream{announcement, {}});
    state.apply(announce_balancer{{"b1", incarnation_id{1}, {1, 2}, "z", false}});
    return state;
}

void write_seeds(std::string const& folder) {
    std::string const agent = "fuzz_agent_message";
    write_seed(folder, agent, "packet", encode_agent_message(flow_message{flow_packet{}}));
    write_seed(folder, agent, "query", encode_agent_message(flow_message{flow_query{}}));
    write_seed(folder, agent, "answer", encode_agent_message(flow_message{flow_answer{}}));
    write_seed(folder, agent, "reply", encode_agent_message(flow_message{flow_reply{}}));
    write_seed(folder, agent, "store", encode_agent_message(flow_message{replication_batch{}}));
    write_seed(folder, agent, "page", encode_agent_message(flow_message{recovery_page{}}));
    write_seed(folder, agent, "claim", encode_agent_message(run_message{run_record_request{}}));
    std::string const forwarded = "fuzz_carried_message";
    write_seed(folder, forwarded, "packet", encode_forwarded_message(forwarded_packet{}));
    write_seed(folder, forwarded, "notice", encode_forwarded_message(flow_notice{}));
    write_seed(folder, forwarded, "query", encode_forwarded_message(holder_query{1, {}, {{}, {}}}));
    write_seed(
        folder, forwarded, "answer",
        encode_forwarded_message(holder_answer{1, {holder_state::held, holder_state::unknown}}));
    std::string const control = "fuzz_control_message";
    heartbeat message;
    message.upstreams.emplace_back();
    message.balancer.emplace();
    write_seed(folder, control, "heartbeat", encode_control_message(message));
    write_seed(folder, control, "update", encode_control_message(state_update{}));
    write_seed(folder, control, "join", encode_control_message(join_request{}));
    write_seed(folder, control, "directory", encode_control_message(join_answer{}));
    write_seed(folder, control, "request",
               encode_control_message(operator_request{"1", write_claim{}}));
    write_seed(folder, control, "reply",
               encode_control_message(operator_reply{"1", status_view{}}));
    write_seed(folder, "fuzz_caller_message", "part", encode_caller_message(request_part{}));
    write_seed(folder, "fuzz_caller_message", "ack", encode_caller_message(answer_ack{{}, {0, 1}}));
    write_seed(folder, "fuzz_answer_part", "part", encode_answer_part({}));
    disk_write disk;
    disk.state.emplace();
    disk.snapshot = log_snapshot{1, 1, {}, encode_fleet_state(make_state())};
    disk.entries.push_back(
        {1, 2, entry_kind::command, encode_fleet_command(remove_upstream{}), {}});
    write_seed(folder, "fuzz_disk", "write", encode_disk_write(disk));
    write_seed(folder, "fuzz_fleet_command", "state", encode_fleet_state(make_state()));
    write_seed(folder, "fuzz_fleet_command", "claim", encode_fleet_command(write_claim{}));
    write_seed(folder, "fuzz_fleet_command", "release", encode_fleet_command(release_buckets{}));
    write_seed(folder, "fuzz_settings", "balancer",
               "[daemon]\nrole = balancer\nname = b\nzone = z\n[fleet]\nkeys = k\n"
               "control_hosts = 1@127.0.0.1:1\n[admin]\nlisten = 127.0.0.1:2\n"
               "[balancer]\nreplies = 127.0.0.1:3\n");
    write_seed(
        folder, "fuzz_settings", "agent",
        "[daemon]\nrole = agent\n[agent]\nlisten = 127.0.0.1:3\n[upstream.u]\nhttp = 1.2.3.4:5\n");
    write_seed(folder, "fuzz_envelope", "short", std::string("\1\7fleet:1", 9));
}

} // namespace

} // namespace toucanusher::tools

int main(int argc, char** argv) {
    if (argc != 2) {
        std::fputs("usage: make_seeds FOLDER\n", stderr);
        return 2;
    }
    toucanusher::tools::write_seeds(argv[1]);
    return 0;
}
