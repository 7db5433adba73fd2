"""A host with a balancer and a control host is restarted while targets are released."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from fleet import Fleet, Operator, Record, http_call, run_case  # noqa: E402
from flows import Clients, Target, holder_of  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROLL_S = 84
OPENED_PER_S = 130
PAUSE_S = 0.25
FLOW_LIFE_S = 1.6
RELEASED_AT_A_TIME = 2
RELEASE_GAP_S = 1.0
DRAIN_S = 4.2
HEARTBEAT_S = 1.2
SETTLE_S = 5.5  # no target has left for some seconds when the next step begins
SERVICE = "quotes"
ROUTE = ("127.250.0.1", 8443)


def configuration(version):
    return {"Version": version,
            "Routes": [{"Name": "r-quotes", "Host": ROUTE[0], "PathPrefix": f"/{ROUTE[1]}/",
                        "Type": "idempotent", "TimeoutMs": 2000, "AimMs": 200, "Priority": 2,
                        "Service": SERVICE, "Attempts": 2}],
            "Services": [{"Name": SERVICE, "HealthCheckPath": "/healthz", "MaxConnections": 2000,
                          "Protocol": "h1", "TlsEnabled": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000 + version}}


class Day:
    def __init__(self):
        self.record = Record(os.path.join(HERE, "record.txt"))
        self.fleet = Fleet([(zone, 4, 2, 2) for zone in "abcd"], self.record, tolerated=2)
        self.clients = Clients(self.fleet, self.record)
        self.targets = []
        self.counts = {"opened": 0, "not opened": 0, "answered": 0, "unanswered": 0}
        self.broken = 0
        self.running = True
        self.zone = "a"
        self.version = 1

    def start_agent(self, zone):
        machine = self.fleet.add_side(zone, SERVICE)
        machine.start()
        return machine

    async def start_target(self, machine):
        target = Target(machine, self.record, heartbeat_s=HEARTBEAT_S, slots=2)
        self.targets.append(target)
        await target.start()

    async def use_flow(self, zone):
        flow = await self.clients.open(zone, ROUTE)
        self.counts["opened" if flow else "not opened"] += 1
        if not flow:
            return
        end = time.monotonic() + FLOW_LIFE_S
        while self.running and flow.state == "open" and time.monotonic() < end:
            answer = await self.clients.request(flow)
            self.counts["answered" if answer else "unanswered"] += 1
            await asyncio.sleep(PAUSE_S)
        if flow.broken == "system":
            self.judge(flow)
        self.clients.close(flow)

    def judge(self, flow):
        target, held = holder_of(self.targets, self.clients, flow)
        if target is None:
            return
        self.broken += 1
        self.record.add(
            f"FLOW BROKEN: reset by the system through {flow.through.name}, port {flow.sport}; "
            f"open at {target.name} for {time.monotonic() - held.opened_at:.3f} s, which lives "
            f"and started {time.monotonic() - target.started_at:.3f} s ago")

    async def load(self):
        tasks = set()
        for i in range(10 ** 9):
            if not self.running:
                break
            task = asyncio.ensure_future(self.use_flow(self.zone))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / OPENED_PER_S)
        if tasks:
            await asyncio.wait(tasks, timeout=4)

    async def replace(self, old, machine):
        """One step of a release: the new target starts first, then the old one drains."""
        await self.start_target(machine)
        await old.drain()
        await asyncio.sleep(DRAIN_S)
        await old.leave()
        old.machine.signal(signal.SIGTERM)

    async def release(self, machines):
        living = [t for t in self.targets if t.alive and t.phase == "ready"]
        steps = []
        for first in range(0, len(machines), RELEASED_AT_A_TIME):
            if first > 0:
                await asyncio.sleep(RELEASE_GAP_S)
            for old, machine in list(zip(living, machines))[first:first + RELEASED_AT_A_TIME]:
                steps.append(asyncio.ensure_future(self.replace(old, machine)))
        await asyncio.gather(*steps)

    def control_of(self, machine):
        """Returns the address of the control host that a balancer uses, from its log."""
        path = os.path.join(self.fleet.folder, machine.name + "-balancer.log")
        with open(path, encoding="utf-8") as log:
            lines = [line for line in log if "event=control_session what=\"established\"" in line]
        return lines[-1].split('host="')[1].split(":")[0] if lines else None

    async def next_host(self):
        """Picks the host of this step of a roll. Every host has its turn in a whole roll; the steps
        that matter here are those of a control host which does not lead and which some, but not
        all, balancers of its zone use. Returns (host, whether it is such a step)."""
        hosts = [m for m in self.fleet.entry if m.disk]
        users = {m: [b for b in self.fleet.entry if self.control_of(b) == m.ip] for m in hosts}
        leaders = []
        for host in hosts:
            answer = await http_call(host.address("ControlPlane"), "GET", "/api/config")
            if answer and answer[0] == 200:
                leaders.append(host)
        found = [m for m in hosts if m not in leaders and m not in users[m] and
                 any(b.zone == m.zone for b in users[m])]
        if found:
            return max(found, key=lambda m: sum(b.zone == m.zone for b in users[m])), True
        return max(hosts, key=lambda m: len(users[m])), False

    async def cycle(self, number):
        host, matters = await self.next_host()
        if TROUBLE and not matters:
            self.record.add(f"platform: restarts {host.name} (no release meanwhile)")
            host.signal(signal.SIGTERM)
            await host.wait_stopped(6)
            await asyncio.sleep(0.5)
            host.start()
            await asyncio.sleep(4)
            return
        self.zone = host.zone  # the flows that pass this host are the ones at stake
        machines = [self.start_agent(z) for z in "abc"]
        await asyncio.sleep(1.5)
        self.version += 1
        if await Operator(self.fleet).put(configuration(self.version)) != 200:
            self.record.add("operator: no answer")
        await asyncio.sleep(0.25)
        if TROUBLE:
            self.record.add(f"platform: SIGTERM to {host.name}")
            host.signal(signal.SIGTERM)
        await asyncio.sleep(0.05)
        release = asyncio.ensure_future(self.release(machines))
        if TROUBLE:
            await host.wait_stopped(6)
            await asyncio.sleep(0.5)
            self.record.add(f"platform: starts {host.name}")
            host.start()
        await release
        await asyncio.sleep(SETTLE_S)

    async def play(self):
        fleet = self.fleet
        for machine in fleet.entry:
            machine.start()
        agents = [self.start_agent(z) for z in "aabbccd"]
        fleet.bootstrap = False
        asyncio.ensure_future(fleet.router.run())
        await self.clients.start()
        if await Operator(fleet).put(configuration(self.version)) != 200:
            return 2
        for machine in agents:
            await self.start_target(machine)
        await asyncio.sleep(4)
        if len(fleet.router.in_rotation) < len(fleet.entry):
            return 2
        load = asyncio.ensure_future(self.load())
        await asyncio.sleep(2)
        end = time.monotonic() + ROLL_S
        for number in range(100):
            if time.monotonic() > end:
                break
            await self.cycle(number)
        self.running = False
        await load
        self.record.add(f"flows and requests: {self.counts}; broken flows: {self.broken}")
        print(f"TROUBLE={int(TROUBLE)}: {self.counts}; open flows reset by the system: "
              f"{self.broken}")
        if self.counts["answered"] < 1000:
            return 2
        return 1 if self.broken else 0


day = Day()
sys.exit(run_case(day.play, day.fleet, 114))
