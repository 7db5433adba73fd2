"""A fleet, its targets, clients that keep flows in use, and the check of the rule FLOW (a)."""

import asyncio
import os
import time

from fleet import Fleet, Operator, Record
from flows import Clients, Target, holder_of

SERVICE = "quotes"
ROUTE = ("127.250.0.1", 8443)


def configuration(version):
    return {"Version": version,
            "Routes": [{"Name": "r-quotes", "Host": ROUTE[0], "PathPrefix": f"/{ROUTE[1]}/",
                        "Type": "idempotent", "TimeoutMs": 2500, "AimMs": 250, "Priority": 2,
                        "Service": SERVICE, "Attempts": 2}],
            "Services": [{"Name": SERVICE, "HealthCheckPath": "/healthz", "MaxConnections": 2000,
                          "Protocol": "h1", "TlsEnabled": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


class Day:
    def __init__(self, folder, zones, tolerated, heartbeat_s, opened_per_s, flow_life_s, pause_s):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.fleet = Fleet(zones, self.record, tolerated)
        self.clients = Clients(self.fleet, self.record)
        self.operator = Operator(self.fleet)
        self.heartbeat_s, self.opened_per_s = heartbeat_s, opened_per_s
        self.flow_life_s, self.pause_s = flow_life_s, pause_s
        self.targets = []
        self.counts = {"opened": 0, "not opened": 0, "answered": 0, "unanswered": 0}
        self.broken = 0
        self.running = True

    def start_agent(self, zone):
        machine = self.fleet.add_side(zone, SERVICE)
        machine.start()
        return machine

    async def start_target(self, machine):
        target = Target(machine, self.record, heartbeat_s=self.heartbeat_s, slots=2)
        target.sequence = -1  # the first call carries 0
        self.targets.append(target)
        await target.start()
        return target

    async def start_fleet(self, target_zones):
        """Returns whether the fleet serves: configured, and every entry host in rotation."""
        fleet = self.fleet
        for machine in fleet.entry:
            machine.start()
        agents = [self.start_agent(zone) for zone in target_zones]
        fleet.bootstrap = False
        asyncio.ensure_future(fleet.router.run())
        await self.clients.start()
        if await self.operator.put(configuration(1)) != 200:
            return False
        for machine in agents:
            await self.start_target(machine)
        await asyncio.sleep(4)
        return len(fleet.router.in_rotation) == len(fleet.entry)

    async def use_flow(self, zone):
        flow = await self.clients.open(zone, ROUTE)
        self.counts["opened" if flow else "not opened"] += 1
        if not flow:
            return
        end = time.monotonic() + self.flow_life_s
        while self.running and flow.state == "open" and time.monotonic() < end:
            answer = await self.clients.request(flow)
            self.counts["answered" if answer else "unanswered"] += 1
            if flow.state == "open":
                await asyncio.sleep(self.pause_s)
        if flow.broken == "system":
            self.judge(flow)
        self.clients.close(flow)

    def judge(self, flow):
        target, held = holder_of(self.targets, self.clients, flow)
        if target is None:
            return
        self.broken += 1
        now = time.monotonic()
        self.record.add(
            f"FLOW BROKEN: reset by the system, last packet through {flow.through.name}, port "
            f"{flow.sport}; open at {target.name} for {now - held.opened_at:.3f} s, which lives and "
            f"started {now - target.started_at:.3f} s ago")

    async def load(self):
        zones = self.fleet.zones
        tasks = set()
        count = 0
        while self.running:
            task = asyncio.ensure_future(self.use_flow(zones[count % len(zones)]))
            count += 1
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / self.opened_per_s)
        if tasks:
            await asyncio.wait(tasks, timeout=4)

    def result(self, least_answered):
        text = f"{self.counts}; open flows reset by the system: {self.broken}"
        self.record.add(text)
        print(f"TROUBLE={int(self.trouble)}: {text}")
        if self.counts["answered"] < least_answered:
            return 2
        return 1 if self.broken else 0
