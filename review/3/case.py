"""Planners are killed at once amid a release, one of eight servers is slow. See claim.txt.

The servers are models here: each does a number of RPCs a second, the part of it that a server of its age can do, one
after the other. Planners, their streams, discovery and the collectors are as in the other cases.
"""
import asyncio
import os
import signal
import sys
from collections import defaultdict, deque

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
from platform_parties import Proxy, Server, World, run_case  # noqa: E402

SETTINGS = {
    "classes": [
        {"name": "lookup", "aim_us": 1500000, "deadline_us": 5000000, "credit": 3.0, "semantics": "safe"},
        {"name": "reserve", "aim_us": 1500000, "deadline_us": 5000000, "credit": 9.0, "semantics": "keyed",
         "group": "cell", "window_us": 5000000},
    ],
    "instances": 5,
    "zones": ["a", "b", "c"],
    "kinds": ["m1", "m2"],
    "family": "control",
    "family_info": {
        "admission": "share", "base_mode": 1, "channel_rate": 1600.0, "class_writes": [False, True],
        "data_plane_size": 240, "head": 3.0, "hears_per_s": 150.0, "initial_set": 5, "queue_cap": 3200.0,
        "report_every_us": 500000, "stays_local": [False, False], "transit_us": 177000, "transit_max_us": 442500,
        "unserved_max_us": 12000000, "outlier_after": 8, "pick": "round", "pushes_allowed": 0, "slices": 0,
        "zonal": False,
    },
    "limits": {"probes": False, "peers": False},
    "registry_mode": "automatic",
    "rules": {"fall_multiple": 3.0, "fall_us": 1500000, "start_capacity": 0.17, "stop_sending_within_us": 4000000,
              "warm_after_us": 18000000},
}
SERVERS = 200
PROXIES = 240
KILLED = 3  # of five planners
RPCS_PER_SECOND = 1260.0
LOAD = 0.6  # of what all servers can do
PARTS = {"lookup": 0.79, "reserve": 0.21}
SLOWER = 4.0
WARM = SETTINGS["rules"]["warm_after_us"] / 1e6
COLD = SETTINGS["rules"]["start_capacity"]
SPAN = SETTINGS["rules"]["fall_us"] / 1e6
MULTIPLE = SETTINGS["rules"]["fall_multiple"]
GRACE = SETTINGS["rules"]["stop_sending_within_us"] / 1e6
DEADLINE = 5.0
TRY = 2.5  # a try is given up after half of the deadline
CHANCE = 1.3  # slack for chance
REPORTS_LATE = 1.2
REPORT_LINES = SETTINGS["family_info"]["hears_per_s"]


class Model:
    """What a server can do, and until when it is busy."""

    def __init__(self, rpcs_per_second, started):
        self.rpcs_per_second, self.started = rpcs_per_second, started
        self.busy_until, self.alive, self.slower = 0.0, True, 1.0
        self.sent = deque()  # of the last SPAN: time, and whether it was sent with knowledge of the start

    def capacity(self, now):
        age = now - self.started
        return self.rpcs_per_second * (1.0 if age >= WARM else COLD + (1 - COLD) * max(0.0, age) / WARM)


class HerdProxy(Proxy):
    """Keeps away for 2 to 7.8 s from a server at which 8 of its own tries in a row failed."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.size = 0.0
        self.failed_in_row = defaultdict(int)
        self.avoided_until = {}
        self.last_message = -1.0

    def apply(self, fields):
        self.last_message = self.world.record.now()
        super().apply(fields)

    async def join(self, planner):
        self.last_message = -1.0
        return await super().join(planner)

    async def forward(self, method):
        while True:
            await asyncio.sleep(self.random.expovariate(max(0.001, self.size * PARTS[method])))
            self.demand[method] = self.demand.get(method, 0) + 1
            asyncio.ensure_future(self.forward_one(method))

    def choose(self, method, without=None):
        now = self.world.record.now()
        lines = {name: weight for name, weight in self.lines(method).items() if name != without}
        usable = {name: weight for name, weight in lines.items() if self.avoided_until.get(name, 0) < now} or lines
        return self.random.choices(list(usable), list(usable.values()))[0] if usable else None

    async def forward_one(self, method):
        self.attempt += 1
        number = f"{self.number}.{self.attempt}"
        begun = self.world.record.now()
        # A client repeats a safe request twice at most, within the deadline. The other class may come again only after
        # a refusal; here it never does.
        for _ in range(3 if method == "lookup" else 1):
            if self.world.record.now() - begun > DEADLINE - TRY:
                return
            level, policy = self.levels.get(method, (1.0, 1))
            name = self.choose(method)
            if name is None or self.random.random() >= level:
                self.world.record(f"refused rpc={number} class={method}")
                return
            answer = await self.send(number, method, name)
            if answer in ("refused", "full") and policy >= 1:  # it never ran: one further try
                other = self.choose(method, without=name)
                answer = answer if other is None else await self.send(number, method, other)
            if answer == "ok":
                return
            await asyncio.sleep(self.random.uniform(0.075, 0.6))

    async def send(self, number, method, name):
        world, model, now = self.world, self.world.models[name], self.world.record.now()
        check_failback(world, self, name, model, now)
        waits = max(0.0, model.busy_until - now)
        capacity = model.capacity(now) / model.slower
        answer, takes = "ok", waits + 0.25 * model.slower
        if not model.alive:
            answer, takes = "refused", 0.001
        elif waits * capacity > 60:
            answer, takes = "full", 0.002
        else:
            model.busy_until = max(now, model.busy_until) + 1 / capacity
            if takes > TRY:
                answer, takes = "timeout", TRY
        world.record(f"sent rpc={number} proxy={self.number} server={name} {answer}")
        await asyncio.sleep(takes)
        count = self.counts.setdefault(name, [0, 0, 0.0])
        count[0] += 1
        if answer == "ok":
            count[2] += takes * 1000
            self.failed_in_row[name] = 0
            return answer
        count[1] += 1
        self.failed_in_row[name] += 1
        if self.failed_in_row[name] >= SETTINGS["family_info"]["outlier_after"]:
            self.failed_in_row[name] = 0
            self.avoided_until[name] = world.record.now() + self.random.uniform(2, 7.8)
        return answer


class HerdWorld(World):
    """Reports come late, and at most REPORT_LINES a second, the oldest first."""

    async def collect(self, planner, zone):
        held = {}
        lines = int(REPORT_LINES / len(SETTINGS["zones"]) * self.period)
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", planner.port)
                writer.write(f"agent az={zone}\r\n".encode())
                while not writer.is_closing():
                    await asyncio.sleep(self.period)
                    self.gather(planner, zone, held)
                    text = "".join(self.take_line(zone, name, held)
                                   for name in sorted(held, key=lambda name: held[name][0])[:lines])
                    asyncio.get_running_loop().call_later(REPORTS_LATE, self.report, writer, text)
            except OSError:
                pass
            await asyncio.sleep(0.3)

    def gather(self, planner, zone, held):
        for proxy in self.proxies:
            if proxy.planner is not planner or proxy.zone != zone:
                continue
            counts, proxy.counts = proxy.counts, {}
            for name, (tries, bad, spent) in counts.items():
                if tries > 0:
                    total = held.setdefault(name, [self.record.now(), 0, 0, 0.0])
                    total[1] += tries
                    total[2] += bad
                    total[3] += spent

    def take_line(self, zone, name, held):
        since, tries, bad, spent = held.pop(name)
        mean = spent / (tries - bad) if tries > bad else 0.0
        window = (self.record.now() - since + self.period) * 1000
        return f"outcomes az={zone} host={name} n={tries} bad={bad} avg={mean:.1f} window={window:.0f}\r\n"

    @staticmethod
    def report(writer, text):
        if not writer.is_closing():
            writer.write(text.encode())


def check_failback(world, proxy, name, model, now):
    """Rule 4: what is sent to a cold server in any SPAN stays under MULTIPLE of what it can do."""
    if now - model.started >= WARM:
        return
    planner, told = proxy.planner, None
    if planner is not None and name in planner.list:
        told = world.start_known.setdefault((planner.name, planner.first_answered, name), now)
    knows = told is not None and (now - told > GRACE or proxy.last_message > told)
    model.sent.append((now, knows))
    while now - model.sent[0][0] > SPAN:
        model.sent.popleft()
    limit = MULTIPLE * model.capacity(now) * SPAN
    sent, knowing = len(model.sent), sum(known for _, known in model.sent)
    if sent > CHANCE * limit and knowing * 3 >= sent * 2:
        world.broke(f"rule=failback {name}, {now - model.started:.1f} s after its start, was sent {sent} RPCs within "
                    f"{SPAN} s, {knowing} of them with knowledge of the start; it falls over at {limit:.1f}")


def add_model(world, name, zone, kind, rpcs_per_second, started):
    world.servers[name] = Server(world, name, zone, kind)
    world.models[name] = Model(rpcs_per_second, started)


async def make_world(seed):
    world = HerdWorld(SETTINGS, FOLDER, seed)
    world.models, world.start_known, world.next = {}, {}, SERVERS
    for number in range(SERVERS):
        fast = number % 5 >= 2
        add_model(world, f"s-{number:03}", "abc"[number % 3], SETTINGS["kinds"][0 if fast else 1],
                  RPCS_PER_SECOND / SERVERS / LOAD * (1.2 if fast else 0.7), -WARM)
        world.catalog.put(world.entry(f"s-{number:03}", "up", 0), silent=True)
    planners = [world.add_planner(f"n{number}") for number in range(5)]
    sizes = [world.random.lognormvariate(0, 1) for _ in range(PROXIES)]
    for number, size in enumerate(sizes):
        proxy = HerdProxy(world, number, "abc"[number % 3], planners[world.random.randrange(5)])
        proxy.size = size * RPCS_PER_SECOND / sum(sizes)
        world.proxies.append(proxy)
    return world


async def replace(world, names):
    """Servers drain and end; others under new ids, as many and as fast, start cold."""
    world.catalog.put(*(world.entry(name, "draining") for name in names))
    await asyncio.sleep(2.2)
    fresh = []
    for name in names:
        world.models[name].alive = False
        fresh.append(f"s-{world.next:03}")
        world.next += 1
        server = world.servers[name]
        add_model(world, fresh[-1], server.zone, server.kind, world.models[name].rpcs_per_second, world.record.now())
    started = world.unix_ms()
    await asyncio.sleep(1.0)
    world.catalog.put(*(world.entry(name, "up", started) for name in fresh))
    await asyncio.sleep(4.0)
    world.catalog.put(*(world.entry(name, "removed") for name in names))


async def kill(world, planners):
    for planner in planners:
        await planner.end(signal.SIGKILL)
        for proxy in world.proxies:
            if proxy.planner is planner:
                proxy.break_stream()
    await asyncio.sleep(4.0)
    for planner in planners:
        await planner.run()


async def story(world, trouble):
    if trouble:
        await world.until(12)
        for name in world.random.sample(sorted(world.models), SERVERS // 8):
            world.models[name].slower = SLOWER
        await world.until(13.5)
        old = world.random.sample(sorted(world.models), SERVERS // 2)
        for wave in range(4):
            world.spawn(replace(world, old[wave * 30:wave * 30 + 30]))
            if wave == 1:
                world.spawn(kill(world, world.planners[5 - KILLED:]))
            await asyncio.sleep(2.6)
    await world.until(36)


if __name__ == "__main__":
    run_case(FOLDER, make_world, story, "failback")
