"""All proxies have come to one planner when a zone is lost and returns: are its servers used again?"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common2"))
import world  # noqa: E402

CLASSES = [("slot-lookup", 3.0), ("slot-reserve", 9.0)]
STAYS_LOCAL = [False, True]
ZONES = ["duran", "pascuales", "via-daule"]
SERVERS_PER_ZONE = 5
PLANNERS = 3
PROXIES = 180  # 60 for each planner; all of them have come to this one
ZONE_LOST_S = 5.0
WATCHED_S = 12.0  # after the zone's servers are warm


async def scenario(record, trouble):
    settings = world.settings_of(CLASSES, STAYS_LOCAL, ZONES, data_plane_size=PROXIES)
    settings["instances"] = PLANNERS
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
        for proxy in proxies:
            await proxy.join(planner, channel)
            await asyncio.sleep(0.02)
        await asyncio.sleep(8)
        record.write(f"bound: {sum(1 for p in proxies if p.bound_at)} of {PROXIES}")
        if trouble:
            lost = [dict(discovery.servers[server]) for server in in_zone[ZONES[0]]]
            discovery.set_state(in_zone[ZONES[0]], "removed")
            await asyncio.sleep(ZONE_LOST_S)
            discovery.change([dict(entry, started_ms=int(time.time() * 1000)) for entry in lost])
        await asyncio.sleep(settings["rules"]["warm_after_us"] / 1e6 + WATCHED_S)
        record.write(f"most lines that waited in the channel: {channel.most_waiting:.0f}")
    finally:
        await world.end([planner], proxies, [discovery], tasks)
    checks.summary()
    return any(rule == 1 for rule, _, _ in checks.broken)


sys.exit(world.main(sys.argv[1], scenario))  # the path of record.txt
