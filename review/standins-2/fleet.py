"""Starts the programs of the deploy file on loopback addresses, as on the users' platform.

Renders the settings templates of `platform/`, starts and stops processes by their ids, and plays
the parts of the platform that lie outside the system: the routers, the operator and the clock of
readiness checks. Every address is a loopback address.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.environ.get("TOUCANUSHERD", os.path.join(REPOSITORY, "target", "toucanusherd"))
READY_INTERVAL_S = 0.5
READY_MISSES = 2


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.out = open(path, "w", encoding="utf-8")

    def add(self, text):
        self.out.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
        self.out.flush()


class Machine:
    def __init__(self, fleet, name, kind, zone, ip, disk=False, control=False, service=None):
        self.fleet, self.name, self.kind, self.zone, self.ip = fleet, name, kind, zone, ip
        self.disk, self.control, self.service = disk, control, service
        self.processes = {}  # role -> Popen
        self.starts = 0

    def address(self, port):
        return f"{self.ip}:{self.fleet.ports[port]}"

    def data_dir(self):
        return os.path.join(self.fleet.folder, "data-" + self.name) if self.disk else None

    def roles(self):
        if self.kind == "side":
            return ["agent"]
        return ["balancer", "control"] if self.control else ["balancer"]

    def fields(self, role):
        first_port = self.fleet.ports["internal"]
        return {
            "NodeName": self.name, "Zone": self.zone, "Ip": self.ip, "Service": self.service,
            "InternalPortRange": [first_port, first_port + 15],
            "SeedAddrs": self.fleet.seeds,
            "Bootstrap": "true" if self.fleet.bootstrap and self.starts == 0 else "false",
            "DataDir": self.data_dir() if role == "control" else None,
            "BindAddrs": {key: self.address(key)
                          for key in ("DatagramAddr", "Ready", "ControlPlane", "outbound")},
            "Limits": {"BandwidthMbps": "1000.0"},
            "FaultTolerance": {"MaxHostFailures": self.fleet.tolerated},
            "app": self.address("app"),
        }

    def start(self, roles=None):
        for role in roles or self.roles():
            path = os.path.join(self.fleet.folder, f"{self.name}-{role}.ini")
            with open(os.path.join(REPOSITORY, "platform", role + ".ini"), encoding="utf-8") as file:
                text = render(file.read(), self.fields(role))
            with open(path, "w", encoding="utf-8") as out:
                out.write(text)
            log = open(os.path.join(self.fleet.folder, f"{self.name}-{role}.log"), "a",
                       encoding="utf-8")
            self.processes[role] = subprocess.Popen([PROGRAM, "--config", path], stdout=log,
                                                    stderr=log, cwd=REPOSITORY)
        self.starts += 1

    def signal(self, number, roles=None):
        for role in roles or list(self.processes):
            process = self.processes.get(role)
            if process and process.poll() is None:
                process.send_signal(number)

    async def wait_stopped(self, timeout):
        end = time.monotonic() + timeout
        while any(p.poll() is None for p in self.processes.values()) and time.monotonic() < end:
            await asyncio.sleep(0.02)
        self.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()


def render(text, fields):
    """The part of the platform's template language that the project's templates use."""

    def value_of(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
        return value

    def section(match):
        return match.group(2) if value_of(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def place(match):
        value = value_of(match.group(1))
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", place, text)


class Fleet:
    """zones: list of (name, entry hosts, control hosts, hosts with a disk), in this order."""

    def __init__(self, zones, record, tolerated=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="toucanusher-review-")
        self.tolerated = tolerated
        self.bootstrap = True
        self.net = random.randint(20, 200)
        self.ports = self.choose_ports()
        self.entry, self.side = [], []
        self.zones = [name for name, *_ in zones]
        for index, (name, hosts, control, disks) in enumerate(zones):
            for i in range(hosts):
                self.entry.append(Machine(self, f"edge-{name}-{i + 1}", "edge", name,
                                          f"127.{self.net}.{index + 1}.{10 + i}", disk=i < disks,
                                          control=i < control))
        self.seeds = [m.address("ControlPlane") for m in self.entry if m.disk][:3]
        self.router = Router(self)
        self.next_side = 0

    @staticmethod
    def choose_ports():
        names = ["DatagramAddr", "Ready", "ControlPlane", "outbound", "app"]
        while True:
            base = random.randint(12000, 29000)
            wanted = range(base, base + 40)
            try:
                for port in wanted:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            ports = {name: base + i for i, name in enumerate(names)}
            ports["internal"] = base + 16
            return ports

    def add_side(self, zone, service):
        self.next_side += 1
        machine = Machine(self, f"side-{zone}-{self.next_side}", "side", zone,
                          f"127.{self.net}.{self.zones.index(zone) + 101}.{self.next_side}",
                          service=service)
        self.side.append(machine)
        return machine

    def control_machines(self):
        return [m for m in self.entry if m.control]

    def stop(self):
        machines = self.entry + self.side
        for machine in machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in machines:
            for process in machine.processes.values():
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def http_call(address, method, path, body=None, timeout=1.0):
    """Returns (status, headers, body), or None without a response in time."""

    async def call():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            content = b"" if body is None else body
            head = (f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n")
            writer.write(head.encode() + content)
            await writer.drain()
            data = await reader.read()
            head, _, rest = data.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
            raw = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
            return int(lines[0].split()[1]), {**raw, **headers}, rest
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


class Operator:
    """Sends configurations as PROTOCOL.md says: any control host, redirects, repeated calls."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def call(self, method, body=None, machine=None):
        machine = machine or random.choice(self.fleet.control_machines())
        address, path = machine.address("ControlPlane"), "/api/config"
        for _ in range(3):
            answer = await http_call(address, method, path, body)
            if answer is None or answer[0] != 307:
                return answer
            address = answer[1]["Location"].removeprefix("http://").split("/")[0]
        return None

    async def put(self, configuration, seconds=20, record=True):
        body = json.dumps(configuration).encode()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await self.call("PUT", body)
            if answer and answer[0] != 503:
                if record:
                    self.fleet.record.add(
                        f"operator: version {configuration['Version']} answered {answer[0]}")
                return answer[0]
            await asyncio.sleep(0.15)
        return None

    async def get(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await self.call("GET")
            if answer and answer[0] == 200:
                return json.loads(answer[2])
            await asyncio.sleep(0.15)
        return None


class Router:
    """Picks an entry host for each packet: `steady` hash over the zone's hosts in rotation."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.misses = {}
        self.in_rotation = set()
        self.sets = {}

    async def run(self):
        await asyncio.gather(*(self.watch(m) for m in self.fleet.entry))

    async def watch(self, machine):
        while True:
            begun = time.monotonic()
            answer = await http_call(machine.address("Ready"), "GET", "/api/readyz", timeout=0.4)
            if answer and answer[0] == 200:
                self.misses[machine] = 0
                self.set_rotation(machine, True)
            else:
                self.misses[machine] = self.misses.get(machine, 0) + 1
                if self.misses[machine] >= READY_MISSES:
                    self.set_rotation(machine, False)
            await asyncio.sleep(max(0.0, begun + READY_INTERVAL_S - time.monotonic()))

    def set_rotation(self, machine, present):
        if present == (machine in self.in_rotation):
            return
        (self.in_rotation.add if present else self.in_rotation.discard)(machine)
        self.sets = {}
        self.fleet.record.add(f"router: {machine.name} {'in' if present else 'out of'} rotation")

    def choices(self, zone):
        if zone not in self.sets:
            own = [m for m in self.fleet.entry if m.zone == zone]
            ready = [m for m in own if m in self.in_rotation]
            if not ready:
                chosen = [m for m in self.fleet.entry if m in self.in_rotation] or own
            else:
                chosen = own if 2 * len(ready) < len(own) else ready
            self.sets[zone] = chosen
        return self.sets[zone]

    def pick(self, zone, key):
        return max(self.choices(zone),
                   key=lambda m: hashlib.blake2b(f"{key}/{m.name}".encode(),
                                               digest_size=8).digest())


def run_case(play, fleet, seconds):
    """Returns the exit code of a case: that of `play`, or 2 if it could not run. Ends all processes."""

    async def limited():
        try:
            return await asyncio.wait_for(play(), seconds)
        finally:
            fleet.stop()

    try:
        return asyncio.run(limited())
    except Exception as error:  # a fault of the case itself is no result
        print("could not run:", repr(error))
        return 2
