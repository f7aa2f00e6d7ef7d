"""A planner is killed during a release: do its proxies leave the replaced servers in time once another has them?"""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common2"))
import world  # noqa: E402

CLASSES = [("slot-lookup", 3.0), ("slot-reserve", 9.0)]
STAYS_LOCAL = [False, True]
ZONES = ["duran", "pascuales", "via-daule"]
SERVERS_PER_ZONE = 5
REPLACED = 9  # of 15 servers
STEP_S = 0.5  # between two of them: 4.5 s in all
PROXIES = 140  # 70 for each of two planners
KILLED_AFTER_S = 0.5  # after the release has begun
REDIAL_S = (0.6, 1.4)  # a proxy whose stream has broken dials the other planner


async def replace_servers(discovery, in_zone):
    for number in range(REPLACED):
        server = in_zone[ZONES[number % 3]][number // 3]
        started = int(time.time() * 1000)
        discovery.change([dict(discovery.servers[server], id="t" + server[1:], started_ms=started),
                          dict(discovery.servers[server], state="draining")])
        await asyncio.sleep(STEP_S)


async def scenario(record, trouble):
    settings = world.settings_of(CLASSES, STAYS_LOCAL, ZONES, data_plane_size=PROXIES)
    settings["instances"] = 2
    discovery = world.Discovery(record)
    in_zone = {zone: [f"s-{zone[:2]}{number}" for number in range(SERVERS_PER_ZONE)] for zone in ZONES}
    for zone, servers in in_zone.items():
        for server in servers:
            discovery.add(server, zone)
    await discovery.open()
    planners = [world.Planner(record, settings, discovery) for _ in range(2)]
    channels = [world.Channel(settings) for _ in planners]
    proxies = [world.Proxy(number, ZONES[number % 3], [name for name, _ in CLASSES], 6.5,
                           in_zone[ZONES[number % 3]], record) for number in range(PROXIES)]
    checks = world.Checks(settings, discovery, planners[0], proxies, record)
    tasks = [asyncio.ensure_future(checks.run())]
    tasks += [asyncio.ensure_future(world.report(planner, ZONES, checks, settings)) for planner in planners]
    draw = random.Random(5)

    async def move(proxy):
        proxy.leave()
        await asyncio.sleep(draw.uniform(*REDIAL_S))
        await proxy.join(planners[0], channels[0])

    try:
        for planner in planners:
            await planner.start()
        for proxy in proxies:
            await proxy.join(planners[proxy.number % 2], channels[proxy.number % 2])
            await asyncio.sleep(0.01)
        await asyncio.sleep(6)
        record.write(f"bound: {sum(1 for p in proxies if p.bound_at)} of {PROXIES}")
        tasks.append(asyncio.ensure_future(replace_servers(discovery, in_zone)))
        await asyncio.sleep(KILLED_AFTER_S)
        if trouble:
            await planners[1].stop(signal.SIGKILL)
            await asyncio.gather(*[move(proxy) for proxy in proxies if proxy.number % 2 == 1])
            record.write("the proxies of the killed planner have come")
        await asyncio.sleep(14)
        record.write(f"bound: {sum(1 for p in proxies if p.bound_at)} of {PROXIES}")
        record.write(f"most lines that waited in a channel: {max(c.most_waiting for c in channels):.0f}")
    finally:
        await world.end(planners, proxies, [discovery], tasks)
    checks.summary()
    return any(rule == 3 for rule, _, _ in checks.broken)


sys.exit(world.main(sys.argv[1], scenario))  # the path of record.txt
