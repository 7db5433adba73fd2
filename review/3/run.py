"""The clock of a machine jumps back, its target crashes and starts again, and the agent ignores what
the new target says, its draining included. See claim.txt."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from fleet import (BROKEN, DRAIN_PERIOD, HELD, NOT_RUN, STABILITY_WINDOW, TROUBLE, Operator,
                   make_configuration, run_case)
from flows import Client, Target

SERVICE = "huvo11a"
ROUTE = ("198.18.0.1", 8443)
CLOCK_STEP = 2.4  # seconds, back
CRASHED_FOR = 1.0
RATE = 40  # requests a second
LINGER = 4.0
CONTROL = {"naaldwijk": "127.43.1.1", "honselersdijk": "127.43.2.1", "poeldijk": "127.43.3.1"}
BALANCER = "127.43.1.2"
SIDE = [f"127.43.{1 + i % 3}.{11 + i}" for i in range(7)]
CLIENT = "127.43.9.1"


def unix_ms(step=0.0):
    return int((time.time() + step) * 1000)


def load(record, client, stop):
    number = 0
    while not stop.is_set():
        number += 1
        client.request(f"q{number:05d}")
        time.sleep(random.expovariate(RATE))


def run(fleet):
    record = fleet.record
    fleet.seeds = [fleet.control_address(address) for address in CONTROL.values()]
    for zone, address in CONTROL.items():
        fleet.add("control", f"edge-{zone}-1", address, zone, with_disk=True).start()
    fleet.add("balancer", "edge-naaldwijk-2", BALANCER, "naaldwijk").start()
    for address in SIDE:
        fleet.add("agent", f"side-{address}", address, "naaldwijk", Service=SERVICE,
                  app=f"{address}:{fleet.ports.app}").start()
    operator = Operator(record, fleet.seeds)
    if not operator.put(make_configuration(7), until=20.0):
        return NOT_RUN
    steady = [Target(fleet, f"i-steady-{i}", address, SERVICE, unix_ms(), "naaldwijk", slots=3)
              for i, address in enumerate(SIDE[1:])]
    time.sleep(3.0)
    client = Client(fleet, CLIENT, lambda: [BALANCER], ROUTE)
    stop = threading.Event()
    threading.Thread(target=load, args=(record, client, stop), daemon=True).start()
    time.sleep(2.0)

    # A target is added.
    leaving = Target(fleet, "i-first", SIDE[0], SERVICE, unix_ms(), "naaldwijk", slots=3)
    time.sleep(0.7)
    if TROUBLE:
        record.add(f"the clock of {SIDE[0]} jumps back by {CLOCK_STEP} s")
        leaving.stop("i-first crashes")
        time.sleep(CRASHED_FOR)
        leaving = Target(fleet, "i-second", SIDE[0], SERVICE, unix_ms(-CLOCK_STEP), "naaldwijk",
                         slots=3)
    # The clock jumps back again, which concerns nothing here; then the deployment is calm.
    time.sleep(2 * STABILITY_WINDOW)
    calm_from = record.now() - STABILITY_WINDOW
    record.add(f"calm since {calm_from:.1f} s")
    leaving.drain(LINGER)
    time.sleep(1.0)
    stop.set()
    time.sleep(Client.DEADLINE)
    acknowledged = leaving.drain_acknowledged
    answered = sum(1 for call in client.done if call["outcome"] == "200")
    record.add(f"{answered} of {len(client.done)} requests answered; runs: "
               f"{[len(target.runs) for target in steady + [leaving]]}")
    if acknowledged is None or not answered or not steady[0].runs:
        return NOT_RUN
    late = [at for at in leaving.openings if at > acknowledged + DRAIN_PERIOD]
    sent_late = [at for at in late
                 if any(call["sent_at"] > acknowledged + DRAIN_PERIOD and
                        abs(call["sent_at"] - at) < 1.4 for call in client.calls.values())]
    if not sent_late:
        return HELD
    record.add(f"BROKEN: {len(sent_late)} opening packets reached {leaving.name} later than "
               f"DrainPeriodMs after its draining was acknowledged at {acknowledged:.3f}, the last "
               f"{sent_late[-1] - acknowledged:.1f} s after")
    return BROKEN


if __name__ == "__main__":
    run_case(run, __file__, list(CONTROL.values()) + [BALANCER, CLIENT] + SIDE)
