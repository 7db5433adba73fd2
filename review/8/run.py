"""An agent is stopped and started shortly after the first heartbeat of its target."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from day import Day  # noqa: E402
from fleet import run_case  # noqa: E402

STEPS = 5
STOP_AFTER_S = 0.7  # after the start of the target
DOWN_S = 0.1

day = Day(HERE, [("a", 2, 2, 1), ("b", 2, 2, 1), ("c", 2, 2, 1)], tolerated=1, heartbeat_s=1.2,
          opened_per_s=60, flow_life_s=4.0, pause_s=1.5)


async def play():
    if not await day.start_fleet("abc"):
        return 2
    load = asyncio.ensure_future(day.load())
    await asyncio.sleep(3)
    for step in range(STEPS):
        machine = day.start_agent("abc"[step % 3])
        await asyncio.sleep(2)
        await day.start_target(machine)
        await asyncio.sleep(STOP_AFTER_S)
        if day.trouble:
            day.record.add(f"platform: stops the daemon of {machine.name}")
            machine.signal(signal.SIGTERM)
            await machine.wait_stopped(6)
            await asyncio.sleep(DOWN_S)
            machine.start()
            day.record.add(f"platform: starts the daemon of {machine.name}")
        await asyncio.sleep(6)
    day.running = False
    await load
    return day.result(500)


sys.exit(run_case(play, day.fleet, 100))
