// Writes the first inputs of the fuzzers into the folder given: one valid message of each kind.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include "src/connection/carried_codec.h"
#include "src/process/log_codec.h"
#include "src/request/request_codec.h"
#include "src/version/control_codec.h"
#include "src/version/fleet_codec.h"

namespace toucanusher::tools {

namespace {

void write(std::string const& folder, std::string const& fuzzer, std::string const& name,
           std::string const& bytes) {
    std::filesystem::create_directories(folder + "/" + fuzzer);
    std::ofstream(folder + "/" + fuzzer + "/" + name, std::ios::binary) << bytes;
}

fleet_state make_state() {
    fleet_state state;
    state.apply(write_claim{"1", {"a", {"batch", "slots"}}, "3", 5, {}});
    upstream_announcement said;
    said.service = "batch";
    said.name = "u1";
    said.zone = "z";
    state.apply(announce_upstream{said, {}});
    state.apply(announce_balancer{{"b1", incarnation_id{1}, {1, 2}, "z", false}});
    return state;
}

void write_all(std::string const& folder) {
    std::string const agent = "fuzz_agent_message";
    write(folder, agent, "packet", encode_agent_message(flow_message{flow_packet{}}));
    write(folder, agent, "query", encode_agent_message(flow_message{flow_query{}}));
    write(folder, agent, "answer", encode_agent_message(flow_message{flow_answer{}}));
    write(folder, agent, "reply", encode_agent_message(flow_message{flow_reply{}}));
    write(folder, agent, "store", encode_agent_message(flow_message{replication_batch{}}));
    write(folder, agent, "page", encode_agent_message(flow_message{recovery_page{}}));
    write(folder, agent, "claim", encode_agent_message(run_message{run_record_request{}}));
    std::string const carried = "fuzz_carried_message";
    write(folder, carried, "packet", encode_forwarded_message(forwarded_packet{}));
    write(folder, carried, "notice", encode_forwarded_message(flow_notice{}));
    write(folder, carried, "query", encode_forwarded_message(holder_query{1, {}, {{}, {}}}));
    write(folder, carried, "answer",
          encode_forwarded_message(holder_answer{1, {holder_state::held, holder_state::unknown}}));
    std::string const control = "fuzz_control_message";
    heartbeat beat;
    beat.upstreams.emplace_back();
    beat.balancer.emplace();
    write(folder, control, "heartbeat", encode_control_message(beat));
    write(folder, control, "update", encode_control_message(state_update{}));
    write(folder, control, "join", encode_control_message(join_request{}));
    write(folder, control, "directory", encode_control_message(join_answer{}));
    write(folder, control, "request", encode_control_message(operator_request{"1", write_claim{}}));
    write(folder, control, "reply", encode_control_message(operator_reply{"1", status_view{}}));
    write(folder, "fuzz_caller_message", "part", encode_caller_message(request_part{}));
    write(folder, "fuzz_caller_message", "ack", encode_caller_message(answer_ack{{}, {0, 1}}));
    write(folder, "fuzz_answer_part", "part", encode_answer_part({}));
    disk_write disk;
    disk.state.emplace();
    disk.snapshot = log_snapshot{1, 1, {}, encode_fleet_state(make_state())};
    disk.entries.push_back(
        {1, 2, entry_kind::command, encode_fleet_command(remove_upstream{}), {}});
    write(folder, "fuzz_disk", "write", encode_disk_write(disk));
    write(folder, "fuzz_fleet_command", "state", encode_fleet_state(make_state()));
    write(folder, "fuzz_fleet_command", "claim", encode_fleet_command(write_claim{}));
    write(folder, "fuzz_fleet_command", "release", encode_fleet_command(release_buckets{}));
    write(folder, "fuzz_settings", "balancer",
          "[daemon]\nrole = balancer\nname = b\nzone = z\n[fleet]\nkeys = k\n"
          "control_hosts = 1@127.0.0.1:1\n[admin]\nlisten = 127.0.0.1:2\n"
          "[balancer]\nreplies = 127.0.0.1:3\n");
    write(
        folder, "fuzz_settings", "agent",
        "[daemon]\nrole = agent\n[agent]\nlisten = 127.0.0.1:3\n[upstream.u]\nhttp = 1.2.3.4:5\n");
    write(folder, "fuzz_envelope", "short", std::string("\1\7fleet:1", 9));
}

} // namespace

} // namespace toucanusher::tools

int main(int argc, char** argv) {
    if (argc != 2) {
        std::fputs("make_seeds: needs a folder\n", stderr);
        return 2;
    }
    toucanusher::tools::write_all(argv[1]);
    return 0;
}
