"""A rolling release in two halves, while some proxies move between two planners. See claim.txt."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
from platform_parties import FOREVER_AGO_MS, World, run_case  # noqa: E402

SETTINGS = {
    "classes": [
        {"name": "lookup", "aim_us": 1500000, "deadline_us": 5000000, "credit": 3.0, "semantics": "safe"},
        {"name": "order", "aim_us": 1500000, "deadline_us": 5000000, "credit": 9.0, "semantics": "unsafe"},
    ],
    "instances": 2,
    "zones": ["a", "b"],
    "kinds": ["m1"],
    "family": "control",
    "family_info": {
        "admission": "share", "base_mode": 1, "channel_rate": 1600.0, "class_writes": [False, True],
        "data_plane_size": 12, "head": 3.0, "initial_set": 5, "queue_cap": 1600.0, "report_every_us": 500000,
        "stays_local": [False, False], "transit_us": 177000, "transit_max_us": 442500, "unserved_max_us": 2100000,
        "outlier_after": 0, "pick": "weighted", "pushes_allowed": 0, "slices": 0, "zonal": False,
    },
    "limits": {"probes": False, "peers": False},
    "registry_mode": "automatic",
    "rules": {"fall_multiple": 3.0, "fall_us": 1500000, "start_capacity": 0.17, "stop_sending_within_us": 2000000,
              "warm_after_us": 18000000},
}
FIRST_HALF = [f"s-{number:02}" for number in range(1, 9)]
SECOND_HALF = [f"s-{number:02}" for number in range(9, 17)]
PROXIES = 12


async def make_world(seed):
    world = World(SETTINGS, FOLDER, seed)
    for index, name in enumerate(FIRST_HALF + SECOND_HALF):
        await world.add_server(name, "ab"[index % 2], "m1")
        world.catalog.put(world.entry(name, "up", world.unix_ms() - FOREVER_AGO_MS), silent=True)
    first, second = world.add_planner("n0"), world.add_planner("n1")
    for number in range(PROXIES):
        world.add_proxy(number, "ab"[number % 2], first if number < PROXIES // 2 else second)
    return world


async def drain(world, names):
    world.catalog.put(*(world.entry(name, "draining") for name in names))


async def restart(world, names):
    """The servers end and start again under their ids."""
    for name in names:
        await world.servers[name].stop()
    world.catalog.put(*(world.entry(name, "removed") for name in names))
    await asyncio.sleep(1.0)
    started = world.unix_ms()
    for name in names:
        await world.servers[name].start()
    await asyncio.sleep(0.5)
    world.catalog.put(*(world.entry(name, "up", started) for name in names))


async def story(world, trouble):
    _, second = world.planners
    of_second = [proxy for proxy in world.proxies if proxy.home is second]
    # A planned restart of n1: its proxies go to n0, and go back some seconds later.
    await world.until(5)
    await second.end(signal.SIGTERM)
    for proxy in of_second:
        proxy.break_stream()
        proxy.elsewhere = True
    await second.run()
    await world.until(10)
    for proxy in of_second:
        proxy.elsewhere = False
        proxy.break_stream()
    # The first half of the release: these servers drain, and start again under their ids.
    await world.until(15)
    await drain(world, FIRST_HALF)
    await world.until(17.5)
    if trouble:  # half of the proxies reach no planner for 14 s, and go on forwarding
        for proxy in of_second:
            proxy.unreachable.update(("n0", "n1"))
            proxy.break_stream()
    await restart(world, FIRST_HALF)
    await world.until(31.5)
    for proxy in of_second:
        proxy.unreachable.clear()
    # The second half of the release, when the first half is warm.
    await world.until(40)
    await drain(world, SECOND_HALF)
    await world.until(46)


if __name__ == "__main__":
    run_case(FOLDER, make_world, story, "lost")
