"""Stand-ins for the platform around a planner: discovery, proxies, collectors, servers, and the checks of rules 1 and 3.

Everything runs on one asyncio loop and on loopback addresses. The stand-ins do what the protocol page says; where it is
silent they behave like sound peers.
"""
import asyncio
import ctypes
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SLACK = 0.3  # the time limits of the rules are 300 ms longer on sockets
GRACE_AFTER_START = 1.0  # they begin no sooner than 1 s after the planner first answered
REDIAL = (0.59, 2.0)  # a proxy dials again within this time of noticing
FOREVER_AGO_MS = 3_600_000
GIVEN_PORTS = set()
BROKEN_CODE = 10  # not 1, which is the interpreter's own code for any error; run.sh makes 1 of it


class Record:
    """The file that holds what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


def free_port():
    """A port below the usual range of outgoing connections, so that none takes it while its owner restarts."""
    while True:
        port = random.SystemRandom().randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            return port


def end_with_parent():
    """Runs in a new process: it is killed when this script ends, however that happens."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def reset(writer):
    """Ends a connection by a reset, as a process that dies does."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Executes RPCs: a line `run ID CLASS` is answered `done ID`."""

    def __init__(self, world, name, zone, kind):
        self.world, self.name, self.zone, self.kind = world, name, zone, kind
        self.port = free_port()
        self.listener = None
        self.connections = set()
        self.executed = 0

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while line := await reader.readline():
                _, number, method = line.decode().split()
                self.executed += 1
                self.world.record(f"run rpc={number} server={self.name} class={method}")
                await asyncio.sleep(0.02)
                writer.write(f"done {number}\n".encode())
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def stop(self):
        """The process ends: open connections are reset, new ones refused."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.connections):
            reset(writer)


class Catalog:
    """Discovery's list, and one agent for each planner that tells it."""

    def __init__(self, world, version):
        self.world = world
        self.version = version
        self.entries = {}  # id -> entry
        self.changed = {}  # id -> version of the last change
        self.ever_listed = set()
        self.news = asyncio.Event()
        self.begun_at = version

    def put(self, *entries, silent=False):
        """Changes entries as one new version."""
        if not silent:
            self.version += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            self.changed[entry["id"]] = self.version
            self.ever_listed.add(entry["id"])
        if not silent:
            for entry in entries:
                self.world.record(f"discovery version={self.version} server={entry['id']} state={entry['state']}")
        self.news.set()
        self.news = asyncio.Event()

    def complete(self):
        listed = [entry for entry in self.entries.values() if entry["state"] != "removed"]
        return {"version": self.version, "full": True, "servers": listed}

    def changes_after(self, version):
        changed = [entry for name, entry in self.entries.items() if self.changed[name] > version]
        return {"version": self.version, "full": False, "servers": changed}


class Agent:
    """Discovery's agent on one planner's machine: HTTP/1.1, a complete list or a watch."""

    def __init__(self, world, planner):
        self.world, self.planner = world, planner
        self.port = free_port()
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = request.split()[1]
            self.world.record(f"discovery {self.planner.name} asks {target}")
            catalog = self.world.catalog
            found = re.search(r"index=(\d+)", target)
            if "stream=1" not in target or found is None:
                body = json.dumps(catalog.complete()).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write(head % len(body) + body)
                self.tell(catalog.complete())
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Transfer-Encoding: chunked\r\n\r\n")
            known = int(found.group(1))
            if known < catalog.begun_at or known > catalog.version:
                self.send(writer, catalog.complete())
                known = catalog.version
            while not writer.is_closing():
                news = catalog.news
                if known < catalog.version:
                    self.send(writer, catalog.changes_after(known))
                    known = catalog.version
                await writer.drain()
                try:
                    await asyncio.wait_for(news.wait(), 2.0)
                except asyncio.TimeoutError:
                    writer.write(b"1\r\n\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def send(self, writer, message):
        """One line of the watch, as a chunk."""
        line = json.dumps(message).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        self.tell(message)

    def tell(self, message):
        self.planner.told(message)
        names = ",".join(f"{entry['id']}:{entry['state']}" for entry in message["servers"])
        self.world.record(f"told {self.planner.name} version={message['version']} full={message['full']} {names[:400]}")


class Planner:
    """One planner process, started by the deploy file's `run`."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.port = free_port()
        self.agent = Agent(world, self)
        self.process = None
        self.known = None  # the list in its start file
        self.list = {}  # id -> entry, as it was told
        self.told_bad = {}  # id -> since when it is told to drain or to be gone
        self.first_answered = None
        self.ending = False  # it was told to end, or killed
        self.log = None

    def told(self, message):
        now = self.world.record.now()
        if message["full"]:
            named = {entry["id"] for entry in message["servers"]}
            for name in self.list:
                if name not in named:
                    self.told_bad.setdefault(name, now)
            self.list = {name: entry for name, entry in self.list.items() if name in named}
        for entry in message["servers"]:
            name = entry["id"]
            if entry["state"] == "up":
                self.told_bad.pop(name, None)
                self.list[name] = entry
            else:
                self.told_bad.setdefault(name, now)
                if entry["state"] == "removed":
                    self.list.pop(name, None)
                else:
                    self.list[name] = entry

    def start(self):
        world = self.world
        known = self.known or world.catalog.complete()
        self.list, self.told_bad, self.first_answered = {}, {}, None
        self.told(known)
        path = os.path.join(world.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"name": self.name, "listen": f"127.0.0.1:{self.port}",
                       "discovery": f"127.0.0.1:{self.agent.port}", "seed": f"{random.getrandbits(63):x}",
                       "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
                       "known": known, "settings": world.settings}, file)
        scratch = os.path.join(world.folder, f"tmp-{self.name}")
        os.makedirs(scratch, exist_ok=True)
        environment = dict(os.environ, LB_NAME=self.name, LB_LISTEN=f"127.0.0.1:{self.port}",
                           LB_DISCOVERY=f"127.0.0.1:{self.agent.port}", LB_CONFIG=path, TMPDIR=scratch)
        self.log = open(os.path.join(world.folder, f"{self.name}.log"), "ab")
        world.record(f"planner {self.name} starts known={known['version']}")
        return environment

    async def run(self):
        environment = self.start()
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.world.run_command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
            preexec_fn=end_with_parent)
        self.log.close()
        await self.await_alive()

    async def await_alive(self):
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun(f"planner {self.name} ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"probe\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"alive\r\n":
                    self.first_answered = self.world.record.now()
                    self.ending = False
                    self.world.record(f"planner {self.name} answers alive")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun(f"planner {self.name} does not answer")

    async def end(self, number):
        if self.process is None or self.process.returncode is not None:
            return
        self.ending = True
        self.world.record(f"planner {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)
        code = await self.process.wait()
        self.world.record(f"planner {self.name} ended code={code}")


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Unusable(Exception):
    """A message that a proxy can't use."""


class Proxy:
    """Forwards RPCs by the tables that it is sent, and keeps what it holds across streams."""

    def __init__(self, world, number, zone, home):
        self.world, self.number, self.zone, self.home = world, number, zone, home
        self.random = random.Random(f"{world.seed}/{number}")
        self.methods = [entry["name"] for entry in world.settings["classes"]]
        self.tables = {method: {} for method in self.methods}
        self.levels = {}
        self.ejected = set()
        self.standing = True
        self.planner = None  # whom it counts as joined to; kept where the planner lost the stream
        self.joined_at = None
        self.stream = None
        self.lost_by_planner = False
        self.elsewhere = False  # it keeps to another planner than its own, before it goes back
        self.unreachable = set()  # names of planners that the network does not let it reach
        self.attempt = 0
        self.counts = {}  # (server) -> [tries, failures, sum of ms], since the last report
        self.demand = {}
        self.bare_since = {}
        self.leave = asyncio.Event()

    def draw_standing_table(self, servers):
        for method in self.methods:
            open_to_it = [s for s in servers if self.world.may_serve(method, s)]
            own = [s for s in open_to_it if s["zone"] == self.zone]
            size = self.world.settings["family_info"]["initial_set"]
            drawn_from = own if len(own) >= 3 else open_to_it
            chosen = self.random.sample(drawn_from, min(size, len(drawn_from)))
            self.tables[method] = {s["id"]: 1.0 for s in chosen}

    def lines(self, method):
        return {name: weight for name, weight in self.tables[method].items() if weight > 0 and name not in self.ejected}

    # The stream.

    async def live(self):
        order = [self.home] + [p for p in self.world.planners if p is not self.home]
        turn = 0
        while True:
            planner = order[turn % len(order)]
            if self.elsewhere and planner is self.home:
                planner = order[1]
            if await self.join(planner):
                turn = 0  # its own planner is asked first after a break
            else:
                turn += 1
            await asyncio.sleep(self.random.uniform(*REDIAL))

    async def join(self, planner):
        """Opens a stream and reads it to its end. Returns whether there was one."""
        if planner.name in self.unreachable:
            self.world.record(f"proxy {self.number} cannot reach {planner.name}")
            return False
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", planner.port)
        except OSError:
            return False
        share = self.world.rate * len(self.methods)
        writer.write(f"hello sidecar={self.number} az={self.zone} share={share} standing={int(self.standing)}\r\n".encode())
        if not (self.lost_by_planner and self.planner is planner):
            self.planner, self.joined_at = planner, self.world.record.now()
        self.lost_by_planner = False
        self.stream = writer
        self.leave.clear()
        self.world.record(f"proxy {self.number} joins {planner.name}")
        reason = "ended by the planner"
        try:
            await self.read(reader, writer)
            if self.leave.is_set():
                reason = "left"
            else:
                self.lost_by_planner = planner.process.returncode is None and not planner.ending
        except Unusable as error:
            reason = f"reset by the proxy, can't use: {error}"
            self.lost_by_planner = True
            reset(writer)
        except OSError as error:
            reason = f"broken: {error}"
        self.stream = None
        writer.close()
        if not self.lost_by_planner:
            self.planner = None
            self.bare_since.clear()
        self.world.record(f"proxy {self.number} stream to {planner.name} over: {reason}")
        return True

    async def read(self, reader, writer):
        """Reads messages. They take effect later, in order, as they do behind the planner's channel."""
        on_the_way = asyncio.Queue()
        applier = asyncio.ensure_future(self.apply_in_time(on_the_way, writer))
        parts = []
        try:
            while line := await reader.readline():
                text = line.decode().rstrip("\r\n")
                if not text.startswith("push"):
                    raise Unusable(text[:100])
                self.world.record(f"proxy {self.number} gets {text[:3000]}")
                parts.append(self.parse(text))
                if parts[-1].get("continued") != "1":
                    delay = self.world.transit * self.random.uniform(0.6, 1.4)
                    on_the_way.put_nowait((self.world.record.now(), delay, parts))
                    parts = []
        finally:
            applier.cancel()  # what is on the way is lost with the stream

    async def apply_in_time(self, on_the_way, writer):
        while True:
            arrived, delay, parts = await on_the_way.get()
            await asyncio.sleep(max(0, arrived + delay - self.world.record.now()))
            for part in parts:
                self.apply(part)
            lag = (self.world.record.now() - arrived) * 1000
            for part in parts:
                if "nonce_out" in part and not writer.is_closing():
                    nonce = part["nonce_out"]
                    writer.write(f"ack sidecar={self.number} version={nonce} lag_ms={lag:.1f}\r\n".encode())

    def names(self, text):
        """A list of servers. A name that discovery never listed can't be used."""
        for name in text.split(",") if text else []:
            if name not in self.world.catalog.ever_listed:
                raise Unusable(f"server {name!r} was never listed, in {text!r}")
            yield name

    def parse(self, text):
        fields = {}
        for word in text.split(" ")[1:]:
            name, equals, value = word.partition("=")
            if not equals or name not in ("routes", "full", "endpoints", "admit", "policy", "eject", "restore",
                                          "nonce_out", "continued"):
                raise Unusable(f"word {word!r}")
            fields[name] = value
        for method in fields.get("routes", self.methods[0]).split("+"):
            if method not in self.methods:
                raise Unusable(f"class {method!r}")
        for pair in fields["endpoints"].split(",") if fields.get("endpoints") else []:
            name, _, weight = pair.rpartition(":")
            list(self.names(name))
            if not float(weight) >= 0:
                raise Unusable(f"weight {pair!r}")
        for key in ("eject", "restore"):
            list(self.names(fields.get(key, "")))
        return fields

    def apply(self, fields):
        methods = fields["routes"].split("+") if "routes" in fields else self.methods
        for method in methods:
            if fields.get("full") == "1":
                self.tables[method] = {}
                self.levels.pop(method, None)
                self.standing = False
            for pair in fields["endpoints"].split(",") if fields.get("endpoints") else []:
                name, _, weight = pair.rpartition(":")
                self.tables[method][name] = float(weight)
            if "admit" in fields:
                self.levels[method] = (float(fields["admit"]), int(fields["policy"]))
        self.ejected.update(self.names(fields.get("eject", "")))
        self.ejected.difference_update(self.names(fields.get("restore", "")))

    def break_stream(self):
        """The network resets the stream."""
        if self.stream is not None:
            self.leave.set()
            reset(self.stream)

    # RPCs.

    async def forward(self, method):
        while True:
            await asyncio.sleep(self.random.expovariate(self.world.rate))
            self.demand[method] = self.demand.get(method, 0) + 1
            asyncio.ensure_future(self.forward_one(method))

    async def forward_one(self, method):
        self.attempt += 1
        number = f"{self.number}.{self.attempt}"
        level, policy = self.levels.get(method, (1.0, self.world.settings["family_info"]["base_mode"]))
        lines = self.lines(method)
        if self.random.random() >= level or not lines:
            self.world.record(f"refused rpc={number} proxy={self.number} class={method} lines={len(lines)}")
            return
        tried = set()
        for _ in range(2 if policy >= 1 else 1):
            left = {name: weight for name, weight in self.lines(method).items() if name not in tried}
            if not left:
                break
            name = self.random.choices(list(left), list(left.values()))[0]
            tried.add(name)
            if await self.send(number, method, name) != "refused":
                return

    async def send(self, number, method, name):
        world = self.world
        world.check_drain(self, name, number)
        begun = time.monotonic()
        answer = "lost"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", world.servers[name].port)
            world.record(f"sent rpc={number} proxy={self.number} server={name} class={method}")
            writer.write(f"run {number} {method}\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1.5)
            answer = "ok" if line else "lost"
            writer.close()
        except ConnectionRefusedError:
            answer = "refused"
        except (OSError, asyncio.TimeoutError):
            pass
        count = self.counts.setdefault(name, [0, 0, 0.0])
        count[0] += 1
        if answer == "ok":
            count[2] += (time.monotonic() - begun) * 1000
        else:
            count[1] += 1
        world.record(f"answer rpc={number} server={name} {answer}")
        return answer

    async def report_demand(self):
        while True:
            await asyncio.sleep(self.world.period)
            demand, self.demand = self.demand, {}
            if self.stream is None:
                continue
            for method, count in demand.items():
                if not self.stream.is_closing():
                    self.stream.write(f"demand sidecar={self.number} kind={method} n={count} bad=0 "
                                      f"window={self.world.period * 1000}\r\n".encode())


class World:
    """All parties of one run, the checks, and the record."""

    def __init__(self, settings, folder_of_case, seed, rate=4.0):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.settings, self.seed, self.rate = settings, seed, rate
        self.random = random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="micaroad-review-")
        self.period = settings["family_info"]["report_every_us"] / 1e6
        self.transit = settings["family_info"]["transit_us"] / 1e6
        self.catalog = Catalog(self, 41)
        self.planners, self.proxies, self.servers = [], [], {}
        self.tasks = []
        self.broken = []
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            self.run_command = re.search(r'^run *= *"(.*)"', file.read(), re.M).group(1)

    def may_serve(self, method, entry):
        chosen = next(c for c in self.settings["classes"] if c["name"] == method)
        kinds = chosen.get("only_kinds")
        return not kinds or self.settings["kinds"].index(entry["kind"]) in kinds

    def entry(self, name, state, started_ms=None):
        server = self.servers[name]
        if started_ms is None:
            started_ms = self.catalog.entries[name]["started_ms"] if name in self.catalog.entries else 0
        return {"id": name, "addr": f"127.0.0.1:{server.port}", "zone": server.zone, "kind": server.kind,
                "cell": 0, "state": state, "weight": 1.0, "started_ms": started_ms}

    @staticmethod
    def unix_ms():
        return int(time.time() * 1000)

    async def add_server(self, name, zone, kind):
        self.servers[name] = Server(self, name, zone, kind)
        await self.servers[name].start()

    def add_planner(self, name):
        planner = Planner(self, name)
        self.planners.append(planner)
        return planner

    async def until(self, second):
        await asyncio.sleep(max(0, second - self.record.now()))

    def add_proxy(self, number, zone, home):
        proxy = Proxy(self, number, zone, home)
        self.proxies.append(proxy)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def begin(self):
        """Starts agents and planners, waits until they answer, then lets the proxies come."""
        for planner in self.planners:
            await planner.agent.start()
        await asyncio.gather(*(planner.run() for planner in self.planners))
        for proxy in self.proxies:
            proxy.draw_standing_table(self.catalog.complete()["servers"])
            self.spawn(proxy.live())
            self.spawn(proxy.report_demand())
            for method in proxy.methods:
                self.spawn(proxy.forward(method))
        for planner in self.planners:
            for zone in self.settings["zones"]:
                self.spawn(self.collect(planner, zone))
        self.spawn(self.watch_bare())

    async def collect(self, planner, zone):
        """The collector of a zone: sums of what the planner's proxies met."""
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", planner.port)
                writer.write(f"agent az={zone}\r\n".encode())
                while not writer.is_closing():
                    await asyncio.sleep(self.period)
                    sums = {}
                    for proxy in self.proxies:
                        if proxy.planner is not planner or proxy.zone != zone:
                            continue
                        counts, proxy.counts = proxy.counts, {}
                        for name, (tries, bad, spent) in counts.items():
                            total = sums.setdefault(name, [0, 0, 0.0])
                            total[0] += tries
                            total[1] += bad
                            total[2] += spent
                    for name, (tries, bad, spent) in sums.items():
                        mean = spent / (tries - bad) if tries > bad else 0.0
                        writer.write(f"outcomes az={zone} host={name} n={tries} bad={bad} avg={mean:.1f} "
                                     f"window={self.period * 1000}\r\n".encode())
                    await writer.drain()
            except OSError:
                pass
            await asyncio.sleep(0.3)

    # The rules.

    def broke(self, text):
        if len(self.broken) < 200:
            self.broken.append(text)
            self.record(f"BROKEN {text}")

    def check_drain(self, proxy, name, number):
        """Rule 3: a joined proxy does not send to a draining or removed server after the grace."""
        planner = proxy.planner
        if planner is None or planner.first_answered is None or name not in planner.told_bad:
            return
        begun = max(planner.told_bad[name], proxy.joined_at, planner.first_answered + GRACE_AFTER_START)
        limit = begun + self.settings["rules"]["stop_sending_within_us"] / 1e6 + SLACK
        if self.record.now() > limit:
            self.broke(f"rule=drain rpc={number} proxy={proxy.number} of {planner.name} sends to {name}, told "
                       f"{planner.list.get(name, {'state': 'gone'})['state']} at {planner.told_bad[name]:.3f}, "
                       f"limit {limit:.3f}, late by {self.record.now() - limit:.3f} s")

    def warm_server_for(self, planner, method):
        warm_ms = self.settings["rules"]["warm_after_us"] / 1000
        for entry in planner.list.values():
            is_warm = self.unix_ms() - entry["started_ms"] >= warm_ms
            if entry["state"] == "up" and is_warm and self.may_serve(method, entry):
                return entry["id"]
        return None

    async def watch_bare(self):
        """Rule 1: a joined proxy has a line to pick for each class while a warm server is listed."""
        limit = self.settings["family_info"]["unserved_max_us"] / 1e6 + SLACK
        reported = set()
        while True:
            await asyncio.sleep(0.02)
            now = self.record.now()
            for proxy in self.proxies:
                planner = proxy.planner
                for method in proxy.methods:
                    excused = planner is None or planner.first_answered is None
                    warm = None if excused else self.warm_server_for(planner, method)
                    if excused or proxy.lines(method) or warm is None:
                        proxy.bare_since.pop(method, None)
                        reported.discard((proxy.number, method))
                        continue
                    since = proxy.bare_since.setdefault(method, now)
                    since = max(since, planner.first_answered + GRACE_AFTER_START)
                    if now - since > limit and (proxy.number, method) not in reported:
                        reported.add((proxy.number, method))
                        self.broke(f"rule=lost proxy={proxy.number} of {planner.name} has had no line for {method} "
                                   f"for {now - since:.3f} s (limit {limit:.1f}) while {warm} is listed up and warm; "
                                   f"table={sorted(proxy.tables[method])} ejected={sorted(proxy.ejected)}")

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for proxy in self.proxies:
            proxy.break_stream()
        for planner in self.planners:
            await planner.end(signal.SIGKILL)
        for server in self.servers.values():
            await server.stop()
        self.record(f"executed {sum(server.executed for server in self.servers.values())} RPCs")


def run_case(folder, make_world, story, rule):
    """Runs a case and exits with 0 if the rule held, BROKEN_CODE if it was broken, 2 if the case could not run."""
    seed = int(os.environ.get("SEED", "0")) or random.SystemRandom().randrange(1, 1 << 30)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # it logs writes to connections that have just broken

    async def play():
        world = await make_world(seed)
        world.record(f"seed {seed} trouble {int(trouble)}")
        try:
            await world.begin()
            await story(world, trouble)
            world.record("the story is over")
            for task in world.tasks:
                if task.done() and not task.cancelled() and task.exception() is not None:
                    raise CannotRun("a stand-in failed") from task.exception()
            died = [p.name for p in world.planners if p.process.returncode is not None]
            if died:
                world.broke(f"rule=crash planner {died} ended by itself")
        finally:
            await world.end()
            world.record.close()
            shutil.rmtree(world.folder, ignore_errors=True)
        return world

    try:
        world = asyncio.run(asyncio.wait_for(play(), 110))
    except Exception:  # whatever it is, it says nothing about the rule
        traceback.print_exc()
        print("the case could not run")
        sys.exit(2)
    broken = [text for text in world.broken if text.startswith(f"rule={rule}")]
    others = [text for text in world.broken if not text.startswith(f"rule={rule}")]
    print(f"seed {seed}, trouble {int(trouble)}: {len(broken)} breaks of rule {rule}, {len(others)} of others")
    for text in broken[:5] + others[:3]:
        print(" ", text)
    sys.exit(BROKEN_CODE if broken else 0)
