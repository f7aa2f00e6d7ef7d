"""A planner starts over with an older list, while a server drains. See claim.txt."""
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
    "instances": 1,
    "zones": ["a", "b"],
    "kinds": ["m1"],
    "family": "control",
    "family_info": {
        "admission": "share", "base_mode": 1, "channel_rate": 1600.0, "class_writes": [False, True],
        "data_plane_size": 9, "head": 3.0, "initial_set": 5, "queue_cap": 1600.0, "report_every_us": 500000,
        "stays_local": [False, False], "transit_us": 460000, "transit_max_us": 1150000, "unserved_max_us": 2100000,
        "outlier_after": 0, "pick": "weighted", "pushes_allowed": 0, "slices": 0, "zonal": False,
    },
    "limits": {"probes": False, "peers": False},
    "registry_mode": "automatic",
    "rules": {"fall_multiple": 3.0, "fall_us": 1500000, "start_capacity": 0.17, "stop_sending_within_us": 2000000,
              "warm_after_us": 6000000},
}
NAMES = [f"s-{number:02}" for number in range(1, 16)]
PROXIES = 9
RESTARTS = 7


async def make_world(seed):
    world = World(SETTINGS, FOLDER, seed)
    for index, name in enumerate(NAMES):
        await world.add_server(name, "ab"[index % 2], "m1")
        world.catalog.put(world.entry(name, "up", world.unix_ms() - FOREVER_AGO_MS), silent=True)
    planner = world.add_planner("n0")
    for number in range(PROXIES):
        world.add_proxy(number, "ab"[number % 2], planner)
    return world


async def restart(world, trouble, at_second, comes, drains):
    """A server is listed and taken away again; then another drains, while the planner is restarted."""
    planner = world.planners[0]
    await world.until(at_second - 8)
    planner.known = world.catalog.complete()  # the list that its start file will hold: 8 s old
    await world.until(at_second - 6)
    await world.add_server(comes, "a", "m1")
    world.catalog.put(world.entry(comes, "up", world.unix_ms()))
    await world.until(at_second - 2)
    world.catalog.put(world.entry(comes, "removed"))
    await world.servers[comes].stop()
    await world.until(at_second)
    if trouble:
        await planner.end(signal.SIGTERM)
        for proxy in world.proxies:
            proxy.break_stream()
    world.catalog.put(world.entry(drains, "draining"))
    if trouble:
        await planner.run()


async def story(world, trouble):
    for number in range(RESTARTS):
        await restart(world, trouble, 10 + 12 * number, f"s-{21 + number}", f"s-{15 - number:02}")
    await world.until(10 + 12 * RESTARTS - 4)


if __name__ == "__main__":
    run_case(FOLDER, make_world, story, "drain")
