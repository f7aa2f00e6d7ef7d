#!/usr/bin/env python3
"""Runs the daemon with 32 MB and 256 descriptors while some peers misbehave, and checks what the others get.

Bystanders are proxies that join and peers that send `probe`, each in two pieces. None may be refused or wait longer than
MAX_WAIT_S, and the daemon may not use more memory than its limit.

usage: bystanders_test.py PROGRAM [SECONDS]    SECONDS: of each case; more for a soak
"""

import asyncio
import json
import logging
import os
import random
import resource
import signal
import sys
import tempfile
import time

MEMORY_MB = 32
DESCRIPTORS = 256
PROXIES = 40
FIRST_BYSTANDER = 20  # the proxies below it misbehave
MAX_WAIT_S = 3.0  # the platform's limit until a peer is answered or closed
BYSTANDER_INTERVAL_S = 0.25
PIECE_PAUSE_S = 0.05
SEED = 56

JOIN = "hello sidecar={} az=a share=5 standing=1\r\n"
COLLECTOR = b"agent az=a\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def settings():
    family = {"admission": "share", "base_mode": 1, "buffer_for_us": 300000, "channel_rate": 1600.0,
              "class_writes": [False], "data_plane_size": PROXIES, "exclusive": False, "first_wait": 0.8, "head": 3.0,
              "hears_per_s": 150.0, "initial_set": 5, "lease_us": 2500000, "messages_over_us": 10000000,
              "outlier_after": 0, "pick": "weighted", "push_price": 0.04, "pushes_allowed": 0, "queue_cap": 1600.0,
              "report_every_us": 500000, "shift_fee": 0.01, "slices": 0, "sockets_min": 244.0, "stays_local": [False],
              "transit_max_us": 442500, "transit_us": 177000, "unserved_max_us": 2100000, "warm_keys": True,
              "write_life_us": 5020000, "zonal": False}
    method = {"aim_us": 1500000, "credit": 3.0, "deadline_us": 5000000, "group": "all", "late_worth": 0.2,
              "name": "lookup", "semantics": "safe", "window_us": 5000000}
    return {"classes": [method], "family": "control", "family_info": family, "instances": 1, "kinds": ["m1"],
            "limits": {"connect_timeout_us": 400000, "cpu_us_per_s": 800000, "idle_close_us": 15000000,
                       "max_streams": 100, "peers": False, "probes": False},
            "load_info": {"fields": [], "how": "answers"}, "locality": 0, "ordinal": 0, "registry_mode": "automatic",
            "rules": {"ask_within_us": 10000000, "fall_multiple": 3.0, "fall_us": 1500000, "start_capacity": 0.17,
                      "stop_sending_within_us": 2000000, "warm_after_us": 18000000},
            "tick_us": 2000, "weights": "rough", "worth_by": "request", "zones": ["a"]}


def server_list():
    entries = [{"id": f"s-{i}", "addr": "127.0.0.1:9", "zone": "a", "kind": "m1", "cell": 0, "state": "up",
                "weight": 1.0, "started_ms": 0} for i in range(6)]
    return {"version": 41, "full": True, "servers": entries}


async def serve_discovery(reader, writer):
    """Sends the list once and an empty line every second after that."""
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED)
        line = json.dumps(server_list()) + "\r\n"
        while True:
            writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(1)
            line = "\r\n"
    except (OSError, asyncio.IncompleteReadError):
        pass


async def serve_endless_headers(reader, writer):
    """A discovery whose answer has headers without end."""
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n")
        while True:
            writer.write(b"x-name: value\r\n" * 100)
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass


class Daemon:
    """The program under test, with its start file and its discovery."""

    async def start(self, program, folder):
        self.path = os.path.join(folder, "start.json")
        self.discovery = await asyncio.start_server(serve_discovery, "127.0.0.1", 0)
        reserved = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        self.port = reserved.sockets[0].getsockname()[1]
        reserved.close()
        await reserved.wait_closed()
        self.config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": address_of(self.discovery),
                       "seed": "8c1f30d27a5be964", "known": server_list(), "settings": settings(),
                       "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}}
        self.write_config()
        self.process = await asyncio.create_subprocess_exec(
            program, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL,
            env=dict(os.environ, LB_CONFIG=self.path),
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)))
        for _ in range(100):
            if await probe(self.port) is None:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the daemon does not answer")

    def write_config(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)

    def follow(self, discovery):
        self.config["discovery"] = address_of(discovery)
        self.write_config()
        self.process.send_signal(signal.SIGHUP)

    def peak_memory_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
            return next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmHWM"))

    async def stop(self):
        if self.process.returncode is None:
            self.process.terminate()
        await self.process.wait()
        self.discovery.close()


def address_of(server):
    return "{}:{}".format(*server.sockets[0].getsockname())


async def exchange(port, message, is_answer):
    """Sends a message in two pieces. Returns what was wrong with the answer, or None, and the connection."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(message[:3])
        await asyncio.sleep(PIECE_PAUSE_S)
        writer.write(message[3:])
        deadline = time.monotonic() + MAX_WAIT_S
        while True:
            line = await asyncio.wait_for(reader.readline(), max(0.01, deadline - time.monotonic()))
            if is_answer(line):
                return None, writer
            if not line or line == b"error\r\n":
                return "refused", writer
    except asyncio.TimeoutError:
        return "late", writer
    except OSError:
        return "reset", writer


async def probe(port):
    fault, writer = await exchange(port, b"probe\r\n", lambda line: line == b"alive\r\n")
    if writer:
        writer.close()
    return fault


async def join(port, proxy, open_streams):
    fault, writer = await exchange(port, JOIN.format(proxy).encode(), lambda line: b"full=1" in line)
    open_streams.append(writer)
    return fault


async def watch_bystanders(port, seconds):
    """Has bystanders come for a while. Returns the faults that they met."""
    tasks, open_streams = [], []
    end = time.monotonic() + seconds
    proxy = FIRST_BYSTANDER
    while time.monotonic() < end:
        tasks.append(asyncio.ensure_future(probe(port)))
        tasks.append(asyncio.ensure_future(join(port, proxy, open_streams)))
        proxy = FIRST_BYSTANDER + (proxy + 1 - FIRST_BYSTANDER) % (PROXIES - FIRST_BYSTANDER)
        await asyncio.sleep(BYSTANDER_INTERVAL_S)
    faults = [fault for fault in await asyncio.gather(*tasks) if fault]
    for writer in open_streams:
        if writer:
            writer.transport.abort()
    return faults


class Peers:
    """Peers that misbehave, until they are closed."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.random = random.Random(SEED)
        self.writers = []
        self.tasks = []
        self.names = 0

    async def send(self, data):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.daemon.port)
            self.writers.append(writer)
            writer.write(data)
            return writer
        except OSError:
            return None

    def repeat(self, action):
        async def loop():
            while True:
                try:
                    await action()
                except OSError:
                    return
                await asyncio.sleep(0)

        self.tasks.append(asyncio.ensure_future(loop()))

    async def flood(self, make_lines):
        writer = await self.send(COLLECTOR)

        async def write():
            if writer is None or writer.is_closing():
                raise ConnectionResetError
            writer.write(make_lines())
            await writer.drain()

        self.repeat(write)

    def new_name(self, size=8):
        self.names += 1
        return f"x{self.names}" + "".join(self.random.choices("abcdef", k=8)) * (size // 8)

    def report_on_new_name(self, size=8):
        return f"outcomes az=a host={self.new_name(size)} n=5 bad=0 avg=20 window=500\r\n".encode()

    async def half_long_lines(self):
        for _ in range(60):
            await self.send(COLLECTOR + b"outcomes az=a host=" + b"x" * 200_000)

    async def lines_of_many_words(self):
        words = b" ".join(b"w%d=1" % i for i in range(100_000))
        for _ in range(20):
            await self.send(COLLECTOR + b"outcomes " + words[:1_000_000] + b"\r\n")

    async def silent_collectors(self):
        for _ in range(DESCRIPTORS + 4):
            await self.send(COLLECTOR)

    async def silent_peers(self):
        for i in range(DESCRIPTORS + 44):
            await self.send(b"hello sidecar=3 az=a" if i % 2 else b"")

    async def malformed_reports(self):
        for _ in range(10):
            await self.flood(lambda: b"outcomes az=q host=s-1 n=1\r\n" * 100)

    async def unknown_names(self):
        for _ in range(10):
            await self.flood(lambda: b"".join(self.report_on_new_name() for _ in range(50)))

    async def long_unknown_names(self):
        for _ in range(20):
            await self.flood(lambda: self.report_on_new_name(100_000))

    async def joins_again(self):
        for proxy in range(FIRST_BYSTANDER // 2):
            reports = f"demand sidecar={proxy} kind=lookup n=1 bad=0 window=500\r\n" * 300

            async def come_back(proxy=proxy, reports=reports):
                await self.send((JOIN.format(proxy) + reports).encode())
                await asyncio.sleep(0.1)

            self.repeat(come_back)

    async def closes_with_unread_input(self):
        for proxy in range(FIRST_BYSTANDER // 2):

            async def join_and_abort(proxy=proxy):
                writer = await self.send(JOIN.format(proxy).encode() + b"probe\r\n" * 1_000)
                await asyncio.sleep(0.1)
                if writer:
                    writer.transport.abort()

            self.repeat(join_and_abort)

    async def endless_headers(self):
        discovery = await asyncio.start_server(serve_endless_headers, "127.0.0.1", 0)
        self.daemon.follow(discovery)

    async def all_connections_taken(self):
        await self.silent_collectors()
        await self.malformed_reports()
        await self.half_long_lines()
        await self.joins_again()
        await self.silent_peers()

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0.1)  # until the transports are closed


CASES = ["half_long_lines", "lines_of_many_words", "silent_collectors", "silent_peers", "malformed_reports",
         "unknown_names", "long_unknown_names", "joins_again", "closes_with_unread_input", "endless_headers",
         "all_connections_taken"]


async def run_case(name, program, seconds, folder):
    """Returns a text for each check that failed."""
    daemon = Daemon()
    await daemon.start(program, folder)
    peers = Peers(daemon)
    bystanders = asyncio.ensure_future(watch_bystanders(daemon.port, seconds))
    await getattr(peers, name)()
    faults = await bystanders
    failures = []
    if faults:
        failures.append(f"{name}: {len(faults)} bystanders lost: {', '.join(sorted(set(faults)))}")
    if daemon.process.returncode is not None:
        failures.append(f"{name}: the daemon ended with code {daemon.process.returncode}")
    else:
        memory_mb = daemon.peak_memory_mb()
        print(f"{name}: {len(faults)} bystanders lost, at most {memory_mb:.1f} MB", flush=True)
        if memory_mb > MEMORY_MB:
            failures.append(f"{name}: {memory_mb:.1f} MB of memory")
    await peers.end()
    await daemon.stop()
    return failures


def main(arguments):
    seconds = float(arguments[1]) if len(arguments) > 1 else 4.0
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, 4096))
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # else each write to a closed connection is logged
    sys.unraisablehook = lambda _: None  # connections of discovery that are open at the end
    failures = []
    for name in CASES:
        with tempfile.TemporaryDirectory() as folder:
            failures += asyncio.run(run_case(name, arguments[0], seconds, folder))
    print("\n".join(failures) if failures else "all bystanders were served")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
