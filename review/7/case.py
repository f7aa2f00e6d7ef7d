"""Servers fall silent and come back while the planner is killed: may the proxies use them again?"""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common2"))
import world  # noqa: E402

CLASSES = [("slot-lookup", 3.0), ("slot-reserve", 9.0)]
ZONES = ["duran", "pascuales", "via-daule"]
SILENT = ["s-du0", "s-du1", "s-du2"]  # 3 of 15: "a fifth of the servers fall silent"
SERVERS = {"duran": 3, "pascuales": 6, "via-daule": 6}
PROXIES = 30


async def scenario(record, trouble):
    settings = world.settings_of(CLASSES, [False, True], ZONES, data_plane_size=PROXIES)
    discovery = world.Discovery(record)
    for zone, count in SERVERS.items():
        for number in range(count):
            discovery.add(f"s-{zone[:2]}{number}", zone)
    in_zone = {zone: [s for s, e in discovery.servers.items() if e["zone"] == zone] for zone in ZONES}
    await discovery.open()
    planner = world.Planner(record, settings, discovery)  # its file's `known` is the list of this moment
    names = [name for name, _ in CLASSES]
    proxies = [world.Proxy(number, ZONES[number % 3], names, 6.5, in_zone[ZONES[number % 3]][:5], record)
               for number in range(PROXIES)]
    checks = world.Checks(settings, discovery, planner, proxies, record)
    tasks = [asyncio.ensure_future(checks.run()),
             asyncio.ensure_future(world.report(planner, ZONES, checks, settings))]
    try:
        await planner.start()
        channel = world.Channel(settings)
        for proxy in proxies:
            await proxy.join(planner, channel)
        await asyncio.sleep(3)
        record.write(f"bound: {sum(1 for p in proxies if p.bound_at)} of {PROXIES}")
        if trouble:
            discovery.set_state(SILENT, "removed")  # silent for 6 s, left out after a while
        await asyncio.sleep(1.5)
        await planner.stop(signal.SIGKILL)  # "At any time planners may be killed outright"
        for proxy in proxies:
            proxy.leave()
        record.write("shut out at the proxies: " +
                     ", ".join(sorted({server for p in proxies for server in p.ejected})))
        await asyncio.sleep(1)
        if trouble:
            discovery.set_state(SILENT, "up")  # they answer again; they never restarted
        await asyncio.sleep(0.5)
        await planner.start()  # "They start again from nothing, under their names and addresses."
        channel = world.Channel(settings)
        for proxy in proxies:
            await proxy.join(planner, channel)
        await asyncio.sleep(10)
        record.write(f"bound: {sum(1 for p in proxies if p.bound_at)} of {PROXIES}")
        record.write("shut out at the proxies: " +
                     ", ".join(sorted({server for p in proxies for server in p.ejected})))
    finally:
        await world.end([planner], proxies, [discovery], tasks)
    checks.summary()
    return any(rule == 1 for rule, _, _ in checks.broken)


sys.exit(world.main(sys.argv[1], scenario))  # the path of record.txt
