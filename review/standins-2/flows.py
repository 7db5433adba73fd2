"""Clients and targets that speak flows as PROTOCOL.md says: packets of a 34-byte header and data.

A request and its response fit one packet each. Sequence numbers count the opening packet as one.
"""

import asyncio
import itertools
import json
import random
import socket
import struct
import time
import zlib

from fleet import http_call

SYN, ACK, FIN, RST, BOUNCED = 16, 64, 128, 2, 8
HEAD = struct.Struct("<B3sIIIIHHIIH")
SUM_KEY = b"key of the two ends"
SYN_COPIES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
FIRST_RETRANSMIT_S, LAST_RETRANSMIT_S = 0.2, 1.6
RESET_WINDOW = 76800


def address_number(text):
    return struct.unpack("<I", socket.inet_aton(text)[::-1])[0]


def address_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def checksum(flags, src, dst, sport, dport, seq, ack, data):
    words = struct.pack("<BIIHHII", flags & ~BOUNCED, src, dst, sport, dport, seq, ack)
    return zlib.crc32(SUM_KEY + words + data) | 1


def encode(flags, src, dst, sport, dport, seq, ack, data=b""):
    total = checksum(flags, src, dst, sport, dport, seq, ack, data)
    return HEAD.pack(flags, b"\0\0\0", total, 0, src, dst, sport, dport, seq, ack,
                     len(data)) + data


class Packet:
    def __init__(self, raw):
        (self.flags, self.pad, self.sum, self.echo, self.src, self.dst, self.sport, self.dport,
         self.seq, self.ack, length) = HEAD.unpack_from(raw)
        self.data = raw[HEAD.size:HEAD.size + length]

    def genuine(self):
        return self.sum == checksum(self.flags, self.src, self.dst, self.sport, self.dport,
                                    self.seq, self.ack, self.data)


def diff(a, b):
    return ((a - b + (1 << 31)) & 0xFFFFFFFF) - (1 << 31)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, hook):
        self.hook = hook

    def datagram_received(self, data, _):
        self.hook(data)


async def open_datagrams(ip, port, hook):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(hook),
                                                       local_addr=(ip, port))
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    return transport


class TargetFlow:
    def __init__(self, packet):
        self.key = (packet.src, packet.sport, packet.dst, packet.dport)
        self.own = random.getrandbits(32)
        self.received = (packet.seq + 1) & 0xFFFFFFFF
        self.next = (self.own + 1) & 0xFFFFFFFF
        self.opened_at = None
        self.closed = False
        self.answer = None  # last answer: (seq, data, acknowledged)


class Target:
    """One incarnation of a target; `run` counts what ran, by request id."""

    ids = itertools.count(1)

    def __init__(self, machine, record, heartbeat_s=0.77, slots=5, work_s=0.02, name=None,
                 born=None, first_heartbeat_s=0.0):
        self.machine, self.record, self.heartbeat_s = machine, record, heartbeat_s
        self.slots, self.work_s = slots, work_s
        self.name = name or f"i-{next(self.ids):04x}{random.getrandbits(16):04x}"
        self.born = born if born is not None else int(time.time() * 1000)
        self.first_heartbeat_s = first_heartbeat_s
        self.phase = "ready"
        self.sequence = 0
        self.flows = {}
        self.runs = {}
        self.alive = False
        self.started_at = None
        self.acknowledged_drain_at = None
        self.opened_at = []  # (time, key) of each opening packet that was taken

    async def start(self):
        fleet = self.machine.fleet
        self.outbound = (self.machine.ip, fleet.ports["outbound"])
        self.socket = await open_datagrams(self.machine.ip, fleet.ports["app"], self.on_packet)
        self.alive = True
        self.started_at = time.monotonic()
        self.record.add(f"target {self.name}: started at {self.machine.name}, born {self.born}")
        self.task = asyncio.ensure_future(self.heartbeats())

    async def heartbeats(self):
        await asyncio.sleep(self.first_heartbeat_s)
        while self.alive:
            await self.heartbeat()
            await asyncio.sleep(self.heartbeat_s)

    async def heartbeat(self):
        self.sequence += 1
        fleet = self.machine.fleet
        phase = self.phase
        body = {"Service": self.machine.service,
                "Address": f"{self.machine.ip}:{fleet.ports['app']}", "Zone": self.machine.zone,
                "Version": "v1", "Concurrency": self.slots, "Phase": phase, "WarmupLeftMs": 0,
                "Sequence": self.sequence, "born": self.born}
        answer = await http_call(self.machine.address("ControlPlane"), "PUT",
                                 f"/api/instances/{self.name}", json.dumps(body).encode())
        status = answer[0] if answer else None
        if status != 200 or self.sequence <= 1:
            self.record.add(f"target {self.name}: heartbeat {self.sequence} {phase} -> {status}")
        if status == 200 and phase == "draining" and self.acknowledged_drain_at is None:
            self.acknowledged_drain_at = time.monotonic()
            self.record.add(f"target {self.name}: draining acknowledged")
        return status

    async def drain(self):
        self.phase = "draining"
        self.record.add(f"target {self.name}: drains")
        return await self.heartbeat()

    async def leave(self):
        answer = await http_call(self.machine.address("ControlPlane"), "DELETE",
                                 f"/api/instances/{self.name}")
        self.record.add(f"target {self.name}: leaves -> {answer[0] if answer else None}")
        self.stop()

    def stop(self, why="ends"):
        if not self.alive:
            return
        self.alive = False
        self.task.cancel()
        self.socket.close()
        self.record.add(f"target {self.name}: {why}")

    def send(self, flow, flags, seq, data=b""):
        src, sport, dst, dport = flow.key
        self.socket.sendto(encode(flags, dst, src, dport, sport, seq, flow.received, data),
                           self.outbound)

    def on_packet(self, raw):
        packet = Packet(raw)
        if not packet.genuine():
            self.record.add(f"target {self.name}: CHANGED PACKET {raw[:34].hex()}")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow.closed:
                flow = self.flows[key] = TargetFlow(packet)
                self.opened_at.append((time.monotonic(), key))
            self.send(flow, SYN | ACK, flow.own)
            return
        if flow is None:
            self.socket.sendto(bytes([raw[0] | BOUNCED, 0, 0, 0]) + raw[4:], self.outbound)
            return
        if flow.closed:
            if packet.flags & FIN:
                self.send(flow, ACK, flow.next)
            return
        if packet.flags & RST:
            flow.closed = True
            return
        if flow.opened_at is None:
            if packet.flags & ACK and packet.ack == (flow.own + 1) & 0xFFFFFFFF:
                flow.opened_at = time.monotonic()
            else:
                # The client chose another target.
                del self.flows[key]
                self.socket.sendto(bytes([raw[0] | BOUNCED, 0, 0, 0]) + raw[4:], self.outbound)
                return
        if flow.answer and packet.flags & ACK and \
                diff(packet.ack, flow.answer[0] + len(flow.answer[1])) >= 0:
            flow.answer = None
        if packet.data:
            self.on_data(flow, packet)
        if packet.flags & FIN and diff(packet.seq + len(packet.data), flow.received) <= 0:
            flow.closed = True
            flow.received = (flow.received + 1) & 0xFFFFFFFF
            self.send(flow, FIN | ACK, flow.next)

    def on_data(self, flow, packet):
        if packet.seq == flow.received:
            flow.received = (flow.received + len(packet.data)) & 0xFFFFFFFF
            asyncio.ensure_future(self.run(flow, packet.data))
        else:
            self.send(flow, ACK, flow.next)  # a copy

    async def run(self, flow, data):
        identity = data.split(b"X-Request-Id: ", 1)[1].split(b"\r\n", 1)[0].decode()
        self.runs[identity] = self.runs.get(identity, 0) + 1
        await asyncio.sleep(self.work_s)
        if not self.alive or flow.closed:
            return
        body = f"{self.name} {identity} ".encode() + b"." * 200
        closing = "close" if self.phase == "draining" else "keep-alive"
        answer = (f"HTTP/1.1 200 OK\r\nX-Response-Signature: {zlib.crc32(body):08x}\r\n"
                  f"Connection: {closing}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body
        flow.answer = (flow.next, answer)
        flow.next = (flow.next + len(answer)) & 0xFFFFFFFF
        delay = FIRST_RETRANSMIT_S
        for _ in range(9):
            if not self.alive or flow.closed or flow.answer is None:
                return
            self.send(flow, ACK, flow.answer[0], flow.answer[1])
            await asyncio.sleep(delay)
            delay = min(2 * delay, LAST_RETRANSMIT_S)


class ClientFlow:
    def __init__(self, clients, route, sport, zone):
        self.clients, self.route, self.sport, self.zone = clients, route, sport, zone
        self.next = random.getrandbits(32)
        self.expects = 0
        self.state = "opening"
        self.opened = asyncio.get_running_loop().create_future()
        self.answer = None  # future of the answer that is awaited
        self.opened_at = None
        self.broken = None

    def send(self, flags, seq, ack, data=b""):
        self.clients.send(self, flags, seq, ack, data)


class Clients:
    """All clients of all zones behind one address each. Resets of open flows go to `on_reset`."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.flows = {}
        self.ports = itertools.count(20000)
        self.ids = itertools.count(1)
        self.sent = {}  # request id -> route
        self.resets = []  # (time, flow, packet) of resets of flows that the client has open
        self.changed = 0
        self.ips = {}
        self.sockets = {}

    async def start(self):
        for index, zone in enumerate(self.fleet.zones):
            ip = f"127.{self.fleet.net}.{index + 201}.1"
            self.ips[zone] = address_number(ip)
            self.sockets[zone] = await open_datagrams(ip, self.fleet.ports["DatagramAddr"],
                                                      self.on_packet)

    def send(self, flow, flags, seq, ack, data):
        route_ip, route_port = flow.route
        src = self.ips[flow.zone]
        key = (src, flow.sport, route_ip, route_port)
        machine = self.fleet.router.pick(flow.zone, key)
        raw = encode(flags, src, address_number(route_ip), flow.sport, route_port,
                     seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data)
        self.sockets[flow.zone].sendto(raw, (machine.ip, self.fleet.ports["DatagramAddr"]))
        flow.through = machine

    def on_packet(self, raw):
        packet = Packet(raw)
        flow = self.flows.get((packet.dst, packet.dport))
        if flow is None or flow.state == "closed":
            return
        of_system = packet.flags == RST and packet.sum == 0 and not packet.data
        if not of_system and not packet.genuine():
            self.changed += 1
            self.record.add(f"client: CHANGED PACKET {raw[:34].hex()}")
            return
        if packet.flags & RST:
            self.on_reset(flow, packet, of_system)
        elif packet.flags & SYN:
            self.on_accept(flow, packet)
        elif flow.state == "open":
            self.on_data(flow, packet)

    def on_accept(self, flow, packet):
        if flow.state == "opening":
            flow.state = "open"
            flow.opened_at = time.monotonic()
            flow.next = packet.ack
            flow.expects = (packet.seq + 1) & 0xFFFFFFFF
            flow.accepted = packet.seq
            flow.opened.set_result(True)
        if packet.seq == flow.accepted:
            flow.send(ACK, flow.next, flow.expects)

    def on_data(self, flow, packet):
        if packet.data and packet.seq == flow.expects:
            flow.expects = (flow.expects + len(packet.data)) & 0xFFFFFFFF
            if flow.answer and not flow.answer.done():
                flow.answer.set_result(packet.data)
        if packet.data:
            flow.send(ACK, flow.next, flow.expects)
        if packet.flags & FIN:
            flow.state = "closed"

    def on_reset(self, flow, packet, of_system):
        if flow.state == "opening":
            flow.state = "closed"
            flow.opened.set_result(False)
            return
        if of_system and abs(diff(packet.seq, flow.expects)) > RESET_WINDOW:
            return
        flow.state = "closed"
        flow.broken = "system" if of_system else "target"
        if of_system:
            self.resets.append((time.monotonic(), flow, packet))
        if flow.answer and not flow.answer.done():
            flow.answer.set_result(None)

    async def open(self, zone, route):
        flow = ClientFlow(self, route, next(self.ports), zone)
        self.flows[(self.ips[zone], flow.sport)] = flow
        begun = time.monotonic()
        for copy, at in enumerate(SYN_COPIES_S):
            left = begun + at - time.monotonic()
            if left > 0:
                await asyncio.wait([flow.opened], timeout=left)
            if flow.opened.done():
                break
            flow.send(SYN, flow.next, copy)
        await asyncio.wait([flow.opened], timeout=max(0.0, begun + OPEN_TIMEOUT_S
                                                      - time.monotonic()))
        if flow.opened.done() and flow.opened.result():
            return flow
        if not flow.opened.done():
            flow.opened.set_result(False)
        flow.state = "closed"
        return None

    async def request(self, flow, method="GET", deadline_s=2.0, path="/prices"):
        """Returns the body of the answer, or None if the flow broke or the deadline passed."""
        identity = f"r-{next(self.ids)}"
        self.sent[identity] = flow.route
        data = (f"{method} {path} HTTP/1.1\r\nHost: {flow.route[0]}\r\n"
                f"X-Request-Id: {identity}\r\n\r\n").encode()
        flow.answer = asyncio.get_running_loop().create_future()
        seq = flow.next
        flow.next = (flow.next + len(data)) & 0xFFFFFFFF
        end = time.monotonic() + deadline_s
        delay = FIRST_RETRANSMIT_S
        while flow.state == "open" and not flow.answer.done():
            left = end - time.monotonic()
            if left <= 0:
                return None
            flow.send(ACK, seq, flow.expects, data)
            await asyncio.wait([flow.answer], timeout=min(delay, left))
            delay = min(2 * delay, LAST_RETRANSMIT_S)
        if not flow.answer.done() or flow.answer.result() is None:
            return None
        answer = flow.answer.result()
        if b"Connection: close" in answer:
            self.close(flow)
        return answer.split(b"\r\n\r\n", 1)[1]

    def close(self, flow):
        if flow.state == "open":
            flow.send(FIN | ACK, flow.next, flow.expects)
            flow.state = "closed"

    def key_of(self, flow):
        return (self.ips[flow.zone], flow.sport, address_number(flow.route[0]), flow.route[1])


def holder_of(targets, clients, flow):
    """Returns the living target at which the flow is open, with the target's flow."""
    key = clients.key_of(flow)
    for target in targets:
        held = target.flows.get(key)
        if target.alive and held and held.opened_at is not None and not held.closed:
            return target, held
    return None, None
