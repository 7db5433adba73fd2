// Text datagrams that load_tool and fake_upstream exchange on session services.
#pragma once

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

namespace toucanusher::tools {

// From the caller: "open" starts a session, "data" continues it.
struct session_packet {
    bool opens = false;
    std::uint64_t token = 0; // identifies the session; chosen by the caller
    std::uint64_t sequence = 0;
};

// From the upstream: "ok" if it knows the session, else "lost".
struct session_answer {
    bool known = false;
    std::string service;
    std::string upstream;
    std::uint64_t token = 0;
    std::uint64_t sequence = 0;
};

inline std::string to_text(session_packet const& packet) {
    std::ostringstream out;
    out << (packet.opens ? "open " : "data ") << packet.token << ' ' << packet.sequence;
    return out.str();
}

inline std::string to_text(session_answer const& answer) {
    std::ostringstream out;
    out << (answer.known ? "ok " : "lost ") << answer.service << ' ' << answer.upstream << ' '
        << answer.token << ' ' << answer.sequence;
    return out.str();
}

inline std::optional<session_packet> parse_session_packet(std::string const& text) {
    std::istringstream in(text);
    std::string type;
    session_packet packet;
    if (!(in >> type >> packet.token >> packet.sequence) || (type != "open" && type != "data"))
        return std::nullopt;
    packet.opens = type == "open";
    return packet;
}

inline std::optional<session_answer> parse_session_answer(std::string const& text) {
    std::istringstream in(text);
    std::string type;
    session_answer answer;
    if (!(in >> type >> answer.service >> answer.upstream >> answer.token >> answer.sequence))
        return std::nullopt;
    answer.known = type == "ok";
    return answer;
}

} // namespace toucanusher::tools
