// Tests what crosses the border of a process: message codecs, sealed envelopes, settings and key
// files, event lines and the stored replicated log.
#include <filesystem>
#include <fstream>
#include <string>

#include <absl/strings/escaping.h>
#include <doctest/doctest.h>

#include "src/process/io/daemon_config.h"
#include "src/process/io/envelope.h"
#include "src/process/io/log_store.h"
#include "src/process/log_codec.h"
#include "src/request/request_codec.h"
#include "src/version/control_codec.h"
#include "src/version/fleet_codec.h"
#include "tests/scratch_folder.h"
#include "toucanusher/process/event_line.h"

namespace toucanusher::tests {

namespace {

keyring make_keys(char fill) {
    findings found;
    std::string const hex(64, fill);
    auto const file =
        ini_file::parse("keys",
                        "[fleet]\ncurrent = " + hex + "\nsteering = " + hex.substr(32) +
                            "\n[teams]\ngrowers = " + std::string(64, 'e') + "\n",
                        found);
    keyring keys = keyring::from_ini(file, found);
    REQUIRE(found.empty());
    return keys;
}

disk_write make_write(log_index index, std::string payload) {
    disk_write write;
    write.sequence = index;
    write.state = hard_state{3, host_id{1}};
    write.entries.push_back({3, index, entry_kind::command, std::move(payload), {}});
    return write;
}

void corrupt_byte(std::string const& path, std::streamoff offset) {
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(offset);
    char const old = static_cast<char>(file.get());
    file.seekp(offset);
    file.put(static_cast<char>(old ^ 0x40));
}

template <typename Decode>
void check_truncated_and_corrupted(std::string const& bytes, Decode decode) {
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decode(bytes.substr(0, length)).ok());
    CHECK_FALSE(decode(bytes + "x").ok());
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string corrupted = bytes;
        corrupted[i] = static_cast<char>(corrupted[i] ^ 0x81);
        (void)decode(corrupted); // must not crash; any result is valid
    }
}

} // namespace

TEST_CASE("flow messages round-trip; truncated ones are refused and corrupted ones do no harm") {
    flow_packet packet;
    packet.flow = {service_id{7}, transport::udp, {0x0a000001, 4000}};
    packet.bucket = bucket_number{1000};
    packet.version = version_number{1ULL << 40U};
    packet.target = {upstream_id{9}, incarnation_id{~0ULL}};
    packet.balancer = {0x7f000001, 7301};
    packet.hops = 2;
    packet.payload = std::string("\0\x01\xff", 3);
    agent_message const message = flow_message{packet};
    std::string const bytes = encode_agent_message(message);
    auto const decoded = decode_agent_message(bytes);
    REQUIRE(decoded.ok());
    CHECK(std::get<flow_packet>(std::get<flow_message>(*decoded)) == packet);
    check_truncated_and_corrupted(bytes,
                                  [](std::string const& b) { return decode_agent_message(b); });
}

TEST_CASE("control messages round-trip") {
    heartbeat sent;
    sent.name = "agent1";
    sent.upstreams.push_back({"batch", "u1", incarnation_id{5}, {1, 2}, "a", 3, 100, false});
    sent.balancer = balancer_record{"b", incarnation_id{3}, {4, 5}, "z", true};
    std::string const bytes = encode_control_message(sent);
    auto const decoded = decode_control_message(bytes);
    REQUIRE(decoded.ok());
    CHECK(std::get<heartbeat>(*decoded) == sent);
    check_truncated_and_corrupted(bytes,
                                  [](std::string const& b) { return decode_control_message(b); });
}

TEST_CASE("enumeration values out of range are refused") {
    caller_message const message = request_part{.payload = {}};
    std::string const bytes = encode_caller_message(message);
    auto const decoded = decode_caller_message(bytes);
    REQUIRE(decoded.ok());
    answer_part part;
    part.outcome = static_cast<request_outcome>(9);
    CHECK_FALSE(decode_answer_part(encode_answer_part(part)).ok());
}

TEST_CASE("forged, truncated and unknown envelopes are refused, each with its reason") {
    key_store keys(make_keys('a'));
    auto const sealer = make_envelope(keys);
    std::string const sealed = sealer->seal("secret");
    CHECK(sealed.find("secret") == std::string::npos);
    CHECK(std::get<opened_message>(sealer->open(sealed)).plaintext == "secret");
    CHECK(std::get<opened_message>(sealer->open(sealed)).from_fleet());
    CHECK(std::get<opened_message>(sealer->open(sealer->seal_as("team:growers", "x"))).team() ==
          "growers");
    for (std::size_t i = 0; i < sealed.size(); ++i) {
        std::string corrupted = sealed;
        corrupted[i] = static_cast<char>(corrupted[i] ^ 1);
        CHECK(std::holds_alternative<seal_refusal>(sealer->open(corrupted)));
        CHECK(std::holds_alternative<seal_refusal>(sealer->open(sealed.substr(0, i))));
    }
    CHECK(std::get<seal_refusal>(sealer->open("")) == seal_refusal::too_short);
    CHECK(std::get<seal_refusal>(sealer->open(std::string(100, '\2'))) ==
          seal_refusal::unknown_format);
}

TEST_CASE("during a key rotation both keys open envelopes, afterwards only the new one") {
    key_store keys(make_keys('a'));
    auto const sealer = make_envelope(keys);
    std::string const old = sealer->seal("x");
    keyring both_keys = make_keys('b');
    both_keys.keys.merge(make_keys('a').keys);
    keys.replace(both_keys);
    CHECK(std::holds_alternative<opened_message>(sealer->open(old)));
    keys.replace(make_keys('b'));
    CHECK(std::get<seal_refusal>(sealer->open(old)) == seal_refusal::unknown_key);
}

TEST_CASE("errors in a key file give the line and never the key") {
    findings found;
    auto const file = ini_file::parse("k", "[fleet]\ncurrent = abcd\nolder = 1\n", found);
    keyring::from_ini(file, found);
    std::string const text = found.to_string();
    CHECK(text.find("k:2") != std::string::npos);
    CHECK(text.find("k:3") != std::string::npos);
    CHECK(text.find("abcd") == std::string::npos);
}

TEST_CASE("every error of a settings file is reported with its line") {
    findings found;
    std::string const text = "[daemon]\nrole = balancer\nname = b1\nzone =\n[fleet]\n"
                             "keys = k\ncontrol_hosts = 1@127.0.0.1:7101, two\n"
                             "[admin]\nlisten = nowhere\n[balancer]\nreplies = 127.0.0.1:1\n"
                             "linger_mz = 5\n[bogus]\nx = 1\n";
    parse_daemon_config(ini_file::parse("f", text, found), found);
    std::string const report = found.to_string();
    INFO(report);
    CHECK(found.items().size() == 5);
    for (std::string const part : {"f:4", "f:7", "f:9", "f:12", "did you mean linger_ms?", "f:14"})
        CHECK(report.find(part) != std::string::npos);
}

TEST_CASE("a balancer's settings give the bandwidth of its link as a positive number") {
    auto const parse = [](std::string const& bandwidth, findings& found) {
        std::string const text = "[daemon]\nrole = balancer\nname = b1\nzone = a\n[fleet]\n"
                                 "seeds = 127.0.0.1:1\nlink_port = 2\n[admin]\n"
                                 "listen = 127.0.0.1:3\n[packets]\ncallers = 127.0.0.1:4\n"
                                 "carrier = 127.0.0.1:5\nreadiness = 127.0.0.1:6\n" +
                                 bandwidth;
        return parse_daemon_config(ini_file::parse("f", text, found), found);
    };
    findings none;
    CHECK(parse("link_mbit_per_s = 8.4\n", none).packets->link_megabits == doctest::Approx(8.4));
    CHECK(parse("", none).packets->link_megabits == doctest::Approx(1000));
    INFO(none.to_string());
    CHECK(none.items().empty());
    for (char const* wrong : {"0", "-2", "nan", "1e9", "fast"}) {
        findings found;
        (void)parse("link_mbit_per_s = " + std::string(wrong) + "\n", found);
        CHECK(found.items().size() == 1);
    }
}

TEST_CASE("event lines quote text and escape line breaks") {
    std::string const text = event_line("x")
                                 .add("name", "a \"b\"\n")
                                 .add("count", 3)
                                 .add("took", std::chrono::milliseconds{5})
                                 .text();
    CHECK(text == "event=x name=\"a \\\"b\\\"\\n\" count=3 took_ms=5");
}

TEST_CASE("appended entries are read back after a reopen") {
    scratch_folder const folder;
    {
        auto store = log_store::open(folder.path);
        REQUIRE(store.ok());
        CHECK((*store)->was_empty());
        REQUIRE((*store)->append({make_write(1, "one"), make_write(2, "two")}).ok());
        disk_write replacement = make_write(2, "other");
        replacement.truncate_from = 2;
        REQUIRE((*store)->append({replacement}).ok());
    }
    auto const store = log_store::open(folder.path);
    REQUIRE(store.ok());
    CHECK_FALSE((*store)->was_empty());
    CHECK((*store)->contents().state.term == 3);
    REQUIRE((*store)->contents().entries.size() == 2);
    CHECK((*store)->contents().entries[1].payload == "other");
}

TEST_CASE("a snapshot replaces the entries before it") {
    scratch_folder const folder;
    {
        auto store = log_store::open(folder.path);
        REQUIRE((*store)->append({make_write(1, "one"), make_write(2, "two")}).ok());
        disk_write write;
        write.snapshot = log_snapshot{1, 3, {{host_id{1}}, {}}, "state"};
        REQUIRE((*store)->append({write}).ok());
    }
    auto const store = log_store::open(folder.path);
    REQUIRE(store.ok());
    CHECK((*store)->contents().snapshot.state == "state");
    REQUIRE((*store)->contents().entries.size() == 1);
    CHECK((*store)->contents().entries[0].index == 2);
}

TEST_CASE("a torn last record is dropped, corruption before it is refused") {
    scratch_folder const folder;
    std::string const path = folder.path + "/log";
    {
        auto store = log_store::open(folder.path);
        REQUIRE((*store)->append({make_write(1, "one")}).ok());
        REQUIRE((*store)->append({make_write(2, "two")}).ok());
        REQUIRE((*store)->append({make_write(3, "three")}).ok());
    }
    auto const full_size = static_cast<std::streamoff>(std::filesystem::file_size(path));
    SUBCASE("truncated in the last record") {
        std::filesystem::resize_file(path, static_cast<std::uintmax_t>(full_size - 3));
        auto const store = log_store::open(folder.path);
        REQUIRE(store.ok());
        CHECK((*store)->contents().entries.size() == 2);
        CHECK((*store)->truncated_bytes() > 0);
    }
    SUBCASE("corrupted in the last record") {
        corrupt_byte(path, full_size - 2);
        auto const store = log_store::open(folder.path);
        REQUIRE(store.ok());
        CHECK((*store)->contents().entries.size() == 2);
    }
    SUBCASE("corrupted in the first record") {
        corrupt_byte(path, 20);
        auto const store = log_store::open(folder.path);
        CHECK(store.status().code() == absl::StatusCode::kDataLoss);
    }
    SUBCASE("corrupted snapshot") {
        std::ofstream(folder.path + "/snapshot") << "garbage";
        CHECK(log_store::open(folder.path).status().code() == absl::StatusCode::kDataLoss);
    }
}

TEST_CASE("after a failed write the store refuses all later writes") {
    scratch_folder const folder;
    auto store = log_store::open(folder.path);
    REQUIRE(store.ok());
    std::filesystem::create_directories(folder.path +
                                        "/snapshot.new"); // makes the write of the snapshot fail
    disk_write write;
    write.snapshot = log_snapshot{1, 3, {{host_id{1}}, {}}, "state"};
    CHECK_FALSE((*store)->append({write}).ok());
    CHECK((*store)->append({make_write(1, "one")}).code() == absl::StatusCode::kFailedPrecondition);
}

TEST_CASE("members are encoded as by earlier releases, except during a replacement") {
    log_members members;
    members.voters = {host_id{1}, host_id{2}};
    members.learners = {host_id{3}};
    members.addresses[host_id{1}] = {10, 7000};
    disk_write write;
    write.sequence = 5;
    write.entries.push_back({3, 4, entry_kind::members, {}, members});
    CHECK(absl::BytesToHexString(encode_disk_write(write)) ==
          "95059090909195030402c40091939201029103919201920acd1b58");
    write.entries[0].members->next_voters = {host_id{1}, host_id{3}};
    auto const decoded = decode_disk_write(encode_disk_write(write));
    REQUIRE(decoded.ok());
    CHECK(*decoded->entries[0].members == *write.entries[0].members);
}

} // namespace toucanusher::tests
