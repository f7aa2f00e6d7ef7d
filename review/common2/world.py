"""Stand-ins for the planner's peers, written from the operators' pages: proxies, the channel to them, and discovery.

All of it runs in one asyncio process; the planner is the project's own program, started as a process of its own.
"""

import asyncio
import collections
import json
import logging
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SLACK = 0.3  # PROTOCOL.md: "are 300 ms longer"
ANSWER_MS = 200.0  # the mean time of the servers' answers
AFTER_FIRST_ANSWER = 1.0  # PROTOCOL.md: "begin no sooner than 1 s after the planner first answered"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class CannotRun(Exception):
    """The case could not be set up, so it tells nothing of the rule."""


class Record:
    """Writes record.txt: one line an event, with seconds since the start."""

    def __init__(self, path):
        self.start = time.time()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        print(f"{time.time() - self.start:8.3f} {text}", file=self.file, flush=True)


class Discovery:
    """Speaks discovery's HTTP: the whole list, and a watch that sends the changes since a version."""

    def __init__(self, record, name="discovery", version=41):
        self.record = record
        self.name = name
        self.version = version
        self.servers = {}
        self.changes = []  # (version, entry)
        self.told = {}  # server -> time at which its draining or removal was first written to a watch
        self.watches = []
        self.port = free_port()
        self.server = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def add(self, server, zone, started_ms=0, kind="std-4", cell=0):
        """Puts a server into the list before anybody is told of it."""
        self.servers[server] = {"id": server, "addr": "127.0.0.1:9", "zone": zone, "kind": kind, "cell": cell,
                                "state": "up", "weight": 1.0, "started_ms": started_ms}

    def whole(self):
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

    def since(self, version):
        newest = {}
        for changed, entry in self.changes:
            if changed > version:
                newest[entry["id"]] = entry
        return {"version": self.version, "full": False, "servers": list(newest.values())}

    def change(self, entries):
        """Changes entries, as (server, changed fields) or whole entries, in one new version."""
        self.version += 1
        changed = []
        for entry in entries:
            if entry["state"] == "removed":
                self.servers.pop(entry["id"], None)
            else:
                self.servers[entry["id"]] = entry
            self.changes.append((self.version, entry))
            changed.append(entry)
        self.record.write(f"{self.name} version {self.version}: " +
                          ", ".join(f"{e['id']} {e['state']}" for e in changed))
        for writer in list(self.watches):
            self.send(writer, {"version": self.version, "full": False, "servers": changed})

    def set_state(self, servers, state):
        known = {e["id"]: e for _, e in self.changes} | self.servers
        self.change([dict(known[server], state=state) for server in servers])

    def send(self, writer, message):
        line = (json.dumps(message) if message else "") + "\r\n"
        writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
        if message:
            self.note_told(message)

    def note_told(self, message):
        now = time.time()
        listed = {e["id"] for e in message["servers"]}
        for entry in message["servers"]:
            if entry["state"] == "up":
                self.told.pop(entry["id"], None)
            else:
                self.told.setdefault(entry["id"], now)
        if message["full"]:
            for server in {e["id"] for _, e in self.changes} - listed:
                self.told.setdefault(server, now)

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split()[1].decode()
            self.record.write(f"{self.name} asked: {target}")
            if "stream=1" not in target:
                body = json.dumps(self.whole()).encode()
                self.note_told(self.whole())
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            index = int(target.split("index=")[1].split("&")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            known = self.version - len({v for v, _ in self.changes}) <= index <= self.version
            self.send(writer, self.since(index) if known else self.whole())
            self.watches.append(writer)
            while not writer.is_closing():
                await writer.drain()
                try:
                    if not await asyncio.wait_for(reader.read(100), 2):
                        break
                except asyncio.TimeoutError:
                    self.send(writer, None)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.watches):
            writer.transport.abort()


class Planner:
    """The project's daemon, started by the deploy file's command."""

    def __init__(self, record, settings, discovery, limits=None):
        self.record = record
        self.port = free_port()
        self.folder = tempfile.mkdtemp(prefix="micaroad-review-")
        self.path = os.path.join(self.folder, "config.json")
        self.config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": discovery.address,
                       "seed": "8c1f30d27a5be964", "limits": limits or {"cores": 1.0, "memory_mb": 128,
                                                                        "sockets": 1024},
                       "known": discovery.whole(), "settings": settings}
        self.process = None
        self.stopped = False
        self.first_answer = None
        self.write_config()

    def write_config(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            run = next(line.split('"')[1] for line in file if line.startswith("run ="))
        with open(os.path.join(self.folder, "log.txt"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, stdout=log, stderr=log,
                env=dict(os.environ, LB_CONFIG=self.path, TMPDIR=self.folder))
        self.stopped = False
        self.record.write(f"planner started pid={self.process.pid}")
        for _ in range(300):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"probe\r\n")
                answer = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if answer == b"alive\r\n":
                    self.first_answer = time.time()
                    self.record.write("planner answered alive")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the planner does not answer")

    async def stop(self, number=signal.SIGTERM):
        if self.process and self.process.returncode is None:
            self.stopped = True
            self.process.send_signal(number)
            await self.process.wait()
            self.record.write(f"planner ended code={self.process.returncode}")

    def has_died(self):
        """Whether it ended without being told to."""
        return self.process is not None and self.process.returncode is not None and not self.stopped


class Channel:
    """A planner's channel: messages leave one after another at the told pace, and take a while to their proxy."""

    def __init__(self, settings):
        family = settings["family_info"]
        self.rate = family["channel_rate"]
        self.head = family["head"]
        self.transit = family["transit_us"] / 1e6
        self.free_at = 0.0
        self.waiting = 0.0
        self.most_waiting = 0.0

    def enter(self, lines, apply):
        loop = asyncio.get_running_loop()
        cost = lines + self.head
        self.waiting += cost
        self.most_waiting = max(self.most_waiting, self.waiting)
        self.free_at = max(self.free_at, loop.time()) + cost / self.rate
        loop.call_at(self.free_at, self.leave, cost, apply)

    def leave(self, cost, apply):
        self.waiting -= cost
        asyncio.get_running_loop().call_later(self.transit, apply)


class Proxy:
    """Keeps its tables and what it has shut out across streams; answers marks once they are applied."""

    def __init__(self, number, zone, classes, share, table, record):
        self.number = number
        self.zone = zone
        self.share = share
        self.classes = classes
        self.tables = {name: dict.fromkeys(table, 1.0) for name in classes}
        self.levels = dict.fromkeys(classes, 1.0)
        self.ejected = set()
        self.ordered = False  # holds a table that was ordered
        self.record = record
        self.writer = None
        self.planner = None
        self.joined = None
        self.bound_at = None
        self.last_message = 0.0  # when the last message that it has applied entered the channel
        self.task = None

    def usable(self, name):
        return {s: w for s, w in self.tables[name].items() if w > 0 and s not in self.ejected}

    def allowed(self):
        return {server for name in self.classes for server in self.usable(name)}

    async def join(self, planner, channel):
        reader, self.writer = await asyncio.open_connection("127.0.0.1", planner.port)
        self.writer.write(f"hello sidecar={self.number} az={self.zone} share={self.share} "
                          f"standing={0 if self.ordered else 1}\r\n".encode())
        self.planner = planner
        self.joined = time.time()
        self.bound_at = None
        self.task = asyncio.ensure_future(self.read(reader, self.writer, channel))

    async def read(self, reader, writer, channel):
        parts = []
        try:
            while line := await reader.readline():
                if line == b"alive\r\n":
                    continue
                parts.append(dict(word.split("=", 1) for word in line.decode().split()[1:]))
                if parts[-1].get("continued") != "1":
                    message, parts = parts, []
                    entered = time.time()
                    channel.enter(self.lines(message), lambda message=message, entered=entered:
                                  self.apply(message, entered, writer))
        except OSError:
            pass
        if self.writer is writer:
            self.joined = None

    def lines(self, message):
        count = 0
        for part in message:
            count += part.get("full") == "1"
            count += "nonce_out" in part
            for name in ("endpoints", "eject", "restore"):
                count += len(part[name].split(",")) if part.get(name) else 0
            if "admit" in part:
                count += len(part["routes"].split("+")) if "routes" in part else len(self.classes)
        return count

    def apply(self, message, entered, writer):
        if writer is not self.writer or writer.is_closing():
            return  # its stream has broken
        self.last_message = entered
        for part in message:
            routes = part["routes"].split("+") if "routes" in part else self.classes
            if part.get("full") == "1":
                self.ordered = True
                self.bound_at = self.bound_at or time.time()
            for name in routes:
                if part.get("full") == "1":
                    self.tables[name] = {}
                    self.levels[name] = 1.0
                if "admit" in part:
                    self.levels[name] = float(part["admit"])
                for pair in filter(None, part.get("endpoints", "").split(",")):
                    server, weight = pair.split(":")
                    self.tables[name][server] = float(weight)
                    if float(weight) == 0:
                        del self.tables[name][server]
            self.ejected |= set(filter(None, part.get("eject", "").split(",")))
            self.ejected -= set(filter(None, part.get("restore", "").split(",")))
            if "nonce_out" in part:
                writer.write(f"ack sidecar={self.number} version={part['nonce_out']} lag_ms=200.0\r\n".encode())

    def leave(self):
        """Breaks its stream."""
        if self.writer:
            self.writer.transport.abort()
        self.writer = None
        self.joined = None


async def end(planners, proxies, discoveries, tasks):
    """Ends everything that a case has started. Raises if one of its tasks or proxies had failed by itself."""
    readers = [proxy.task for proxy in proxies if proxy.task]
    failed = [task.exception() for task in tasks + readers
              if task.done() and not task.cancelled() and task.exception()]
    died = [planner for planner in planners if planner.has_died()]
    for task in tasks + readers:
        task.cancel()
    for planner in planners:
        await planner.stop(signal.SIGKILL)
        shutil.rmtree(planner.folder, ignore_errors=True)
    for proxy in proxies:
        proxy.leave()
    for discovery in discoveries:
        discovery.close()
    await asyncio.sleep(0.2)
    if failed or died:
        raise CannotRun(f"stand-ins failed: {failed!r}, planners ended by themselves: {len(died)}")


class Count:
    """Requests since the last report on them."""

    def __init__(self):
        self.total = 0
        self.failed = 0
        self.since = None

    def add(self, failed, now):
        self.total += 1
        self.failed += failed
        self.since = self.since or now


async def report(planner, zones, checks, settings):
    """Has the collector of each zone, and each joined proxy, report to a planner: `hears_per_s` lines at most."""
    family = settings["family_info"]
    period = family["report_every_us"] / 1e6
    collectors = {}
    while True:
        await asyncio.sleep(period)
        now = time.time()
        lines = int(family["hears_per_s"] * period)
        try:
            for zone in zones:
                if zone not in collectors or collectors[zone].is_closing():
                    _, collectors[zone] = await asyncio.open_connection("127.0.0.1", planner.port)
                    collectors[zone].write(f"agent az={zone}\r\n".encode())
            # Those that have waited longest go first; the rest follows later.
            for key, count in sorted(checks.outcomes.items(), key=lambda item: item[1].since):
                if key[0] is planner and lines > 0:
                    lines -= 1
                    average = ANSWER_MS if count.total > count.failed else 0.0
                    collectors[key[1]].write(f"outcomes az={key[1]} host={key[2]} n={count.total} bad={count.failed} "
                                             f"avg={average} window={period * 1e3}\r\n".encode())
                    del checks.outcomes[key]
            for key, count in sorted(checks.demand.items(), key=lambda item: item[1].since):
                proxy, name = key
                if proxy.planner is planner and proxy.joined and lines > 0:
                    lines -= 1
                    proxy.writer.write(f"demand sidecar={proxy.number} kind={name} n={count.total} bad=0 "
                                       f"window={max(now - count.since, period) * 1e3:.1f}\r\n".encode())
                    del checks.demand[key]
        except OSError:
            collectors.clear()  # the planner is away


class Checks:
    """Has the proxies send requests by their tables, and holds every request against rules 1 and 3."""

    def __init__(self, settings, discovery, planner, proxies, record):
        self.family = settings["family_info"]
        self.rules = settings["rules"]
        self.local = dict(zip([c["name"] for c in settings["classes"]], self.family["stays_local"]))
        self.discovery = discovery
        self.planner = planner
        self.proxies = proxies
        self.record = record
        self.without_since = {}
        self.broken = {}  # (rule, proxy, subject) -> longest overdue time
        self.longest = {1: 0.0, 3: 0.0}
        self.random = random.Random(1)
        self.sent = 0
        self.refused = 0
        self.shed = 0
        self.last_check = time.time()
        self.step = 0.0
        self.outcomes = collections.defaultdict(Count)  # by planner, zone of the proxies and server
        self.demand = collections.defaultdict(Count)  # by proxy and class
        self.on_sent = None  # called with each request's proxy, server and time

    def has_failed(self, server):
        """Whether a request to the server fails: it is gone."""
        return server not in self.discovery.servers

    def is_served_by_list(self, name, zone, now):
        warm = self.rules["warm_after_us"] / 1e6
        return any(e["state"] == "up" and now - e["started_ms"] / 1e3 >= warm and
                   (not self.local[name] or e["zone"] == zone) for e in self.discovery.servers.values())

    def note(self, rule, proxy, subject, over, text):
        key = (rule, proxy.number, subject)
        if key not in self.broken:
            self.record.write(f"BROKEN rule {rule}: proxy {proxy.number} {text}")
        self.broken[key] = max(self.broken.get(key, 0), over)

    def check(self):
        now = time.time()
        self.step = min(now - self.last_check, 0.2)
        self.last_check = now
        earliest = self.planner.first_answer + AFTER_FIRST_ANSWER if self.planner.first_answer else now
        for proxy in self.proxies:
            for name in proxy.classes:
                self.request(proxy, name, now, earliest)

    def request(self, proxy, name, now, earliest):
        usable = proxy.usable(name)
        key = (proxy.number, name)
        drained = None
        expected = proxy.share / len(proxy.classes) * self.step
        for _ in range(int(expected) + (self.random.random() < expected % 1)):
            self.demand[(proxy, name)].add(False, now)
            if self.random.random() >= proxy.levels[name]:
                self.shed += 1
            elif not usable:
                self.refused += 1
            else:
                server = self.random.choices(list(usable), list(usable.values()))[0]
                self.sent += 1
                self.outcomes[(proxy.planner, proxy.zone, server)].add(self.has_failed(server), now)
                drained = server if server in self.discovery.told else drained
                if self.on_sent:
                    self.on_sent(proxy, server, now)
        if proxy.joined is None:
            self.without_since.pop(key, None)
            return
        if usable or not self.is_served_by_list(name, proxy.zone, now):
            self.without_since.pop(key, None)
        else:
            since = max(self.without_since.setdefault(key, now), earliest, proxy.joined)
            self.longest[1] = max(self.longest[1], now - since)
            if now - since > self.family["unserved_max_us"] / 1e6 + SLACK:
                self.note(1, proxy, name, now - since,
                          f"zone={proxy.zone} class={name}: no line to pick for {now - since:.2f} s since it joined "
                          f"{now - proxy.joined:.2f} s ago; table={sorted(proxy.tables[name])} "
                          f"shut out={sorted(proxy.ejected)}")
        if drained:
            since = max(self.discovery.told[drained], earliest, proxy.joined)
            self.longest[3] = max(self.longest[3], now - since)
            if now - since > self.rules["stop_sending_within_us"] / 1e6 + SLACK:
                self.note(3, proxy, drained, now - since,
                          f"zone={proxy.zone} sends to {drained}, told {now - self.discovery.told[drained]:.2f} s ago, "
                          f"{now - proxy.joined:.2f} s after it joined")

    async def run(self):
        while True:
            self.check()
            await asyncio.sleep(0.05)

    def summary(self):
        self.record.write(f"requests sent={self.sent} refused for want of a line={self.refused} shed={self.shed}")
        self.record.write(f"longest without a line={self.longest[1]:.2f} s, longest sent after a notice="
                          f"{self.longest[3]:.2f} s")
        for rule in sorted({key[0] for key in self.broken}):
            hits = [key for key in self.broken if key[0] == rule]
            self.record.write(f"rule {rule} broken: {len(hits)} times, at {len({key[1] for key in hits})} proxies, "
                              f"longest {max(self.broken[key] for key in hits):.2f} s")


def settings_of(classes, local, zones, **family):
    """Settings in the form of the operators' sample; `family` replaces figures of family_info."""
    info = {"admission": "share", "base_mode": 1, "buffer_for_us": 300000, "channel_rate": 1600.0,
            "class_writes": [False] * len(classes), "data_plane_size": 9, "exclusive": False, "first_wait": 0.8,
            "head": 3.0, "hears_per_s": 150.0, "initial_set": 5, "lease_us": 2500000, "messages_over_us": 10000000,
            "outlier_after": 0, "pick": "weighted", "push_price": 0.04, "pushes_allowed": 0, "queue_cap": 1600.0,
            "report_every_us": 500000, "shift_fee": 0.01, "slices": 0, "sockets_min": 244.0, "stays_local": local,
            "transit_max_us": 442500, "transit_us": 177000, "unserved_max_us": 2100000, "warm_keys": True,
            "write_life_us": 5020000, "zonal": False}
    info.update(family)
    return {"classes": [{"aim_us": 1500000, "credit": credit, "deadline_us": 5000000, "group": "all",
                         "late_worth": 0.2, "name": name, "semantics": "safe", "window_us": 5000000}
                        for name, credit in classes],
            "family": "control", "family_info": info, "instances": 1, "kinds": ["std-4", "slow-4"],
            "limits": {"connect_timeout_us": 400000, "cpu_us_per_s": 800000, "idle_close_us": 15000000,
                       "max_streams": 100, "peers": False, "probes": True},
            "load_info": {"fields": ["backlog", "recent_ms"], "how": "answers"}, "locality": 0, "ordinal": 0,
            "registry_mode": "automatic",
            "rules": {"ask_within_us": 10000000, "fall_multiple": 3.0, "fall_us": 1500000, "start_capacity": 0.17,
                      "stop_sending_within_us": 2000000, "warm_after_us": 18000000},
            "tick_us": 2000, "weights": "rough", "worth_by": "request", "zones": zones}


async def play(scenario, record, trouble):
    """Ends the scenario, and with it all that it started, at 110 s or when this process is told to end."""
    played = asyncio.ensure_future(scenario(record, trouble))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, played.cancel)
    return await asyncio.wait_for(played, 110)


def main(path, scenario):
    """Runs `scenario(record, trouble)`, which tells whether the rule was broken, and returns the exit code."""
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble={int(trouble)}")
    if not os.access(os.path.join(ROOT, "build", "micaroad"), os.X_OK):
        record.write("cannot run: build/micaroad is missing")
        return 2
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # else each write to a broken stream is told
    sys.unraisablehook = lambda _: None  # streams that are still open at the end
    try:
        broken = asyncio.run(play(scenario, record, trouble))
    except (Exception, asyncio.CancelledError) as error:  # a fault of the case says nothing of the rule
        record.write(f"cannot run: {error!r}")
        return 2
    record.write("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held", file=sys.stderr)
    return 1 if broken else 0
