"""A zone is lost, and proxies of another planner come while it is away: are they freed of its servers?"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common2"))
import world  # noqa: E402

CLASSES = [("slot-lookup", 3.0), ("slot-reserve", 9.0)]
STAYS_LOCAL = [True, True]
ZONES = ["duran", "pascuales", "via-daule"]
SERVERS_PER_ZONE = 5
PROXIES = 60
OWN = 30  # of the planner that stays; the others come from the one that was lost with its zone
NOTICED_S = 0.7  # after the loss discovery tells it
COMING_S = 2.8  # after that the proxies of the other planner come
LOST_S = 5.0
ADDED_S = 2.2  # after the return discovery tells it


async def scenario(record, trouble):
    settings = world.settings_of(CLASSES, STAYS_LOCAL, ZONES, data_plane_size=PROXIES)
    settings["instances"] = 2
    discovery = world.Discovery(record)
    in_zone = {zone: [f"s-{zone[:2]}{number}" for number in range(SERVERS_PER_ZONE)] for zone in ZONES}
    for zone, servers in in_zone.items():
        for server in servers:
            discovery.add(server, zone)
    await discovery.open()
    planner = world.Planner(record, settings, discovery)
    proxies = [world.Proxy(number, ZONES[number % 3], [name for name, _ in CLASSES], 6.5,
                           in_zone[ZONES[number % 3]], record) for number in range(PROXIES)]
    checks = world.Checks(settings, discovery, planner, proxies, record)
    channel = world.Channel(settings)
    tasks = [asyncio.ensure_future(checks.run()),
             asyncio.ensure_future(world.report(planner, ZONES, checks, settings))]
    try:
        await planner.start()
        for proxy in proxies[:OWN]:
            await proxy.join(planner, channel)
        await asyncio.sleep(3)
        record.write(f"bound: {sum(1 for p in proxies if p.bound_at)} of {OWN}")
        lost_at = time.time()
        record.write("the zone is lost" if trouble else "nothing is lost")
        await asyncio.sleep(NOTICED_S)
        lost = [dict(discovery.servers[server]) for server in in_zone[ZONES[0]]]
        if trouble:
            discovery.set_state(in_zone[ZONES[0]], "removed")
        await asyncio.sleep(COMING_S)
        for proxy in proxies[OWN:]:
            proxy.ordered = True  # its tables are the other planner's
            await proxy.join(planner, channel)
        record.write("the proxies of the other planner have come")
        await asyncio.sleep(lost_at + LOST_S + ADDED_S - time.time())
        record.write(f"bound before the zone is listed again: {sum(1 for p in proxies if p.bound_at)} of {PROXIES}")
        if trouble:
            started = int((lost_at + LOST_S) * 1000)
            discovery.change([dict(entry, started_ms=started) for entry in lost])
        await asyncio.sleep(5)
        record.write(f"bound at the end: {sum(1 for p in proxies if p.bound_at)} of {PROXIES}")
    finally:
        await world.end([planner], proxies, [discovery], tasks)
    checks.summary()
    return any(rule == 3 for rule, _, _ in checks.broken)


sys.exit(world.main(sys.argv[1], scenario))  # the path of record.txt
