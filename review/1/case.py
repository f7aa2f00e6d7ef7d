"""A zone is lost for 5 s and returns cold, where planners assign servers and proxies to subsets. See claim.txt."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
from platform_parties import FOREVER_AGO_MS, World, run_case  # noqa: E402

SETTINGS = {
    "classes": [
        {"name": "valuation", "aim_us": 2000000, "deadline_us": 5000000, "credit": 2.0, "semantics": "safe"},
        {"name": "watchlist-save", "aim_us": 2500000, "deadline_us": 6000000, "credit": 2.0, "semantics": "keyed",
         "group": "zone", "window_us": 4000000},
        {"name": "sub-charge", "aim_us": 1500000, "deadline_us": 5000000, "credit": 5.0, "semantics": "unsafe",
         "only_kinds": [0]},
    ],
    "instances": 2,
    "zones": ["ub-1", "ub-2"],
    "kinds": ["fast-2c", "std-2c"],
    "family": "control",
    "family_info": {
        "admission": "share", "base_mode": 1, "channel_rate": 3800.0, "class_writes": [False, True, True],
        "data_plane_size": 48, "head": 6.0, "initial_set": 6, "queue_cap": 7600.0, "report_every_us": 2000000,
        "stays_local": [False, False, False], "transit_us": 200000, "transit_max_us": 500000,
        "unserved_max_us": 2500000, "outlier_after": 0, "pick": "two", "pushes_allowed": 30,
        "messages_over_us": 10000000, "slices": 0, "zonal": True,
    },
    "limits": {"probes": False, "peers": False},
    "registry_mode": "automatic",
    "rules": {"fall_multiple": 2.5, "fall_us": 1500000, "start_capacity": 0.16, "stop_sending_within_us": 2000000,
              "warm_after_us": 15000000},
}
SERVERS = 40
PROXIES = 48


async def make_world(seed):
    world = World(SETTINGS, FOLDER, seed, rate=1.0)
    for number in range(SERVERS):
        name = f"q-{number:03}"
        await world.add_server(name, SETTINGS["zones"][number % 2], SETTINGS["kinds"][number // 2 % 2])
        world.catalog.put(world.entry(name, "up", world.unix_ms() - FOREVER_AGO_MS), silent=True)
    planners = [world.add_planner("n0"), world.add_planner("n1")]
    for number in range(PROXIES):
        world.add_proxy(number, SETTINGS["zones"][number % 2], planners[number % 2])
    return world


async def story(world, trouble):
    await world.until(15)
    if not trouble:
        await world.until(32)
        return
    # All servers of ub-1 die; they are back after 5 s, cold.
    lost = [name for name, server in world.servers.items() if server.zone == "ub-1"]
    for name in lost:
        await world.servers[name].stop()
    await world.until(16)
    world.catalog.put(*(world.entry(name, "removed") for name in lost))
    await world.until(20)
    started = world.unix_ms()
    for name in lost:
        await world.servers[name].start()
    await world.until(20.5)
    world.catalog.put(*(world.entry(name, "up", started) for name in lost))
    await world.until(32)


if __name__ == "__main__":
    run_case(FOLDER, make_world, story, "lost")
