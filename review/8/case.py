"""A zone is lost and returns cold: how much are its cold servers sent?"""

import asyncio
import collections
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common2"))
import world  # noqa: E402

CLASSES = [("slot-lookup", 3.0), ("slot-reserve", 9.0)]
STAYS_LOCAL = [False, True]
ZONES = ["duran", "pascuales", "via-daule"]
SERVERS_PER_ZONE = 5
PROXIES = 60
SHARE = 6.5  # requests a second at each proxy
LOAD = 0.6  # of all servers before the zone is lost
ZONE_LOST_S = 5.0
CHANCE = 1.2  # "with a little slack for chance"


class ColdServers:
    """Servers that start at `start_capacity` and grow evenly until `warm_after`; holds them against rule 4."""

    def __init__(self, settings, discovery, record):
        self.rules = settings["rules"]
        self.discovery = discovery
        self.record = record
        self.capacity = PROXIES * SHARE / (len(ZONES) * SERVERS_PER_ZONE) / LOAD  # of a warm one, requests a second
        self.span = self.rules["fall_us"] / 1e6
        self.told_at = None  # when the planner was told of the starts
        self.sent = collections.defaultdict(collections.deque)  # server -> (time, sent with knowledge)
        self.total = collections.Counter()
        self.most = {}
        self.collapsed = {}
        self.lost = 0

    def present_capacity(self, age):
        start = self.rules["start_capacity"]
        return self.capacity * min(1.0, start + (1 - start) * age / (self.rules["warm_after_us"] / 1e6))

    def take(self, proxy, server, now):
        entry = self.discovery.servers.get(server)
        if self.told_at is None or entry is None or not entry["started_ms"]:
            return
        self.total[server] += 1
        if server in self.collapsed:
            self.lost += 1
            return
        knows = proxy.last_message > self.told_at
        knows |= now - self.told_at > self.rules["stop_sending_within_us"] / 1e6 + world.SLACK
        sent = self.sent[server]
        sent.append((now, knows))
        while sent[0][0] < now - self.span:
            sent.popleft()
        # The capacity at the end of the span, where it is highest.
        budget = self.rules["fall_multiple"] * self.present_capacity(now - entry["started_ms"] / 1e3) * self.span
        self.most[server] = max(self.most.get(server, 0), len(sent) / budget)
        knowing = sum(1 for _, knew in sent if knew)
        if len(sent) > CHANCE * budget and knowing >= 2 / 3 * len(sent):
            self.collapsed[server] = now
            self.record.write(f"BROKEN rule 4: {server}, started {now - entry['started_ms'] / 1e3:.2f} s ago, was sent "
                              f"{len(sent)} requests within {self.span} s, {knowing} of them with knowledge of its "
                              f"start; {budget:.1f} were allowed. It collapses.")

    def summary(self):
        for server in sorted(self.total):
            self.record.write(f"{server}: sent {self.total[server]}, at most {self.most.get(server, 0):.2f} times its "
                              f"budget, {'collapsed' if server in self.collapsed else 'stayed up'}")
        self.record.write(f"requests lost at collapsed servers: {self.lost}")


async def scenario(record, trouble):
    settings = world.settings_of(CLASSES, STAYS_LOCAL, ZONES, data_plane_size=PROXIES)
    discovery = world.Discovery(record)
    in_zone = {zone: [f"s-{zone[:2]}{number}" for number in range(SERVERS_PER_ZONE)] for zone in ZONES}
    for zone, servers in in_zone.items():
        for server in servers:
            discovery.add(server, zone)
    await discovery.open()
    planner = world.Planner(record, settings, discovery)
    proxies = [world.Proxy(number, ZONES[number % 3], [name for name, _ in CLASSES], SHARE,
                           in_zone[ZONES[number % 3]], record) for number in range(PROXIES)]
    checks = world.Checks(settings, discovery, planner, proxies, record)
    servers = ColdServers(settings, discovery, record)
    checks.on_sent = servers.take
    checks.has_failed = lambda server: server in servers.collapsed or server not in discovery.servers
    channel = world.Channel(settings)
    tasks = [asyncio.ensure_future(checks.run()),
             asyncio.ensure_future(world.report(planner, ZONES, checks, settings))]
    try:
        await planner.start()
        for proxy in proxies:
            await proxy.join(planner, channel)
            await asyncio.sleep(0.02)
        await asyncio.sleep(5)
        record.write(f"bound: {sum(1 for p in proxies if p.bound_at)} of {PROXIES}")
        if trouble:
            lost = [dict(discovery.servers[server]) for server in in_zone[ZONES[0]]]
            discovery.set_state(in_zone[ZONES[0]], "removed")
            await asyncio.sleep(ZONE_LOST_S)
            servers.told_at = time.time()
            discovery.change([dict(entry, started_ms=int(time.time() * 1000)) for entry in lost])
        await asyncio.sleep(20)
    finally:
        await world.end([planner], proxies, [discovery], tasks)
    checks.summary()
    servers.summary()
    return bool(servers.collapsed)


sys.exit(world.main(sys.argv[1], scenario))  # the path of record.txt
