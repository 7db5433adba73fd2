#!/usr/bin/env python3
"""Trial: a client reuses the port of a flow that has ended, after the route was moved to
another service. Real processes and sockets on loopback addresses.

A request from the reused port must be run by the service that the newest configuration names, as a
request from a fresh port is. Prints one line for each pause between the acknowledgement and the
request.

  review/trials/port_reuse_trial.py [--keep FOLDER] [--pauses 4,20,60]

Exit code: 0 if the new service ran all requests, 1 if the old one ran any, 2 if the trial did not
run.
"""

import argparse
import os
import shutil
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "common"))
from fleet import BROKEN, HELD, NOT_RUN, Fleet, Operator, make_configuration  # noqa: E402
from flows import Client, Target  # noqa: E402

ROUTE = ("198.18.0.1", 8443)
SERVICES = ("huvo11a", "wuno96b")
CONTROL = {"a": "127.58.1.1", "b": "127.58.2.1", "c": "127.58.3.1"}
BALANCER, CLIENT = "127.58.1.2", "127.58.9.1"
SIDE = ("127.58.1.11", "127.58.2.11")
FIRST_REUSED_PORT = 30000


def send(client, name, port):
    """Sends a request from the port and returns its outcome."""
    client.port = port - 1
    call = client.request(name)
    time.sleep(Client.DEADLINE + 0.3)
    return call["outcome"]


def run(fleet, pauses):
    fleet.seeds = [fleet.control_address(address) for address in CONTROL.values()]
    for zone, address in CONTROL.items():
        fleet.add("control", f"edge-{zone}-1", address, zone, with_disk=True).start()
    fleet.add("balancer", "edge-a-2", BALANCER, "a").start()
    for address, service in zip(SIDE, SERVICES):
        fleet.add("agent", f"side-{address}", address, "a", Service=service,
                  app=f"{address}:{fleet.ports.app}").start()
    operator = Operator(fleet.record, fleet.seeds)
    version = 10

    def route_to(service):
        nonlocal version
        version += 1
        configuration = make_configuration(version, [(*ROUTE, service)], SERVICES)
        return operator.put(configuration, fleet.record.now() + 20.0)

    if not route_to(SERVICES[0]):
        return NOT_RUN
    targets = [Target(fleet, f"i-{service}", address, service, int(time.time() * 1000), "a")
               for address, service in zip(SIDE, SERVICES)]
    client = Client(fleet, CLIENT, lambda: [BALANCER], ROUTE)
    time.sleep(4.0)
    outcome = HELD
    for i, pause in enumerate(pauses):
        reused = FIRST_REUSED_PORT + 10 * i
        if not route_to(SERVICES[0]):
            return NOT_RUN
        time.sleep(1.0)
        first = send(client, f"first-{i}", reused)
        if not route_to(SERVICES[1]):
            return NOT_RUN
        time.sleep(pause)
        again, fresh = f"again-{i}", f"fresh-{i}"
        outcomes = send(client, again, reused), send(client, fresh, reused + 1)
        ran_by = {name: [t.service for t in targets if name in t.runs] for name in (again, fresh)}
        print(f"pause_s={pause} first={first} reused_port={outcomes[0]} by {ran_by[again]} "
              f"fresh_port={outcomes[1]} by {ran_by[fresh]}; the route names {SERVICES[1]}",
              flush=True)
        if SERVICES[0] in ran_by[again]:
            outcome = BROKEN
    return outcome


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--keep", default="trial", help="folder for the record and the logs")
    parser.add_argument("--pauses", default="4,20,60", help="seconds after the acknowledgement")
    options = parser.parse_args()
    os.makedirs(options.keep, exist_ok=True)
    fleet = Fleet(options.keep, [*CONTROL.values(), BALANCER, CLIENT, *SIDE])
    outcome = NOT_RUN
    try:
        outcome = run(fleet, [float(pause) for pause in options.pauses.split(",")])
    finally:
        for process in fleet.processes:
            process.log.flush()
            shutil.copy(process.log.name, options.keep)
        fleet.close()
    sys.exit(outcome)


if __name__ == "__main__":
    main()
