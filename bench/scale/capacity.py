#!/usr/bin/env python3
"""Holds the arithmetic of docs/CAPACITY.md.

The page has blocks between `<!-- capacity.py: NAME -->` and `<!-- end -->`. Each is rendered here from the results files
under docs/capacity/ (before.json, and after.json once there is one; where both are, rows stand on after.json).

    capacity.py --check     exit code 1 if a block of the page is not what is rendered
    capacity.py --write     renders all blocks into the page

Exit code 64: the page or a results file can't be read.
"""

import argparse
import json
import math
import pathlib
import re
import sys

BAD_USAGE = 64
ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "docs" / "capacity"
NOT_MEASURED = "**not measured**"

# ---- Size and budget, as given by the operators --------------------------------------------------------------------------

PLANNERS = 16_000
SERVERS = 56_000
SERVICES = 1_100
ROUTES = 45_000
TENANTS = 360_000
RPCS_PER_SECOND = 3_100_000
ZONES, REGIONS = 85, 23
CONFIGURATION_CHANGES_PER_DAY = 85_000
FAILED_PER_DAY, REPLACED_PER_DAY = 280, 4_300
MACHINES = 22
SECONDS_PER_DAY = 86_400
BUDGET_SHARE = 0.021  # of a core, per planner
BUDGET_MB = 128
BUDGET_BYTES = 28_000  # per second and planner, in and out
BUDGET_IN_FORCE_MS = 5_000
BUDGET_START_SECONDS = 10  # of a planner, issue 34

# ---- Assumptions, not given by the operators: the block `assumed` varies each by a factor of four ------------------------

PROXIES_PER_PLANNER = 16
REPORT_EVERY_SECONDS = 1  # on each server that reports to a planner
VARIATION_FACTOR = 4
LIST_LIMIT = 128 * 1024 * 1024 // 8  # bytes, an eighth of the planner's memory; src/daemon/limits.hpp, Limits::kListShare

CHANGES_PER_SECOND = (FAILED_PER_DAY + REPLACED_PER_DAY) / SECONDS_PER_DAY
CONFIGURATION_CHANGES_PER_SECOND = CONFIGURATION_CHANGES_PER_DAY / SECONDS_PER_DAY


class Run:
    """One results file: points and fitted lines by name."""

    def __init__(self, name, path):
        self.name = name
        self.data = json.loads(path.read_text())

    def slope(self, sweep, measure):
        for slope in self.data["slopes"]:
            if slope["sweep"] == sweep and slope["measure"] == measure:
                return slope
        return None

    def points(self, sweep, **world):
        return [
            point
            for point in self.data["points"]
            if point["sweep"] == sweep and all(point["world"][key] == value for key, value in world.items())
        ]

    def named(self, servers, services, demand=True):
        found = self.points("named sizes", servers=servers, services=services, demand=demand)
        return found[0] if found else None


# ---- Arithmetic ----------------------------------------------------------------------------------------------------------


def predict(slope, x):
    """The line's value at x with its standard error; None if it must not be extrapolated."""
    if slope is None or not slope["straight"]:
        return None
    value = slope["intercept"] + slope["slope"] * x
    spread = 1 / slope["points"] + (x - slope["mean_x"]) ** 2 / slope["squares_x"]
    return value, slope["residual_deviation"] * math.sqrt(spread)


def breaks_at(run, sweep, varied, measure, budget):
    """The two measured sizes between which the budget is exceeded: (last within or None, first over or None)."""
    within, over = None, None
    for point in sorted(run.points(sweep), key=lambda point: point["world"][varied]):
        value = point.get("measured", {}).get(measure)
        if point["status"] != "done" or value is None:
            continue
        size = point["world"][varied]
        if value <= budget:
            within = size if over is None else within
        elif over is None:
            over = size
    return within, over


def verdict_between(bounds, unit, beside):
    within, over = bounds
    if over is None:
        return f"holds up to {within:,g} {unit} ({beside}), the most measured" if within is not None else NOT_MEASURED
    if within is None:
        return f"**breaks** below {over:,g} {unit} ({beside}), the fewest measured"
    return f"**breaks at {within:,g} to {over:,g}** {unit} ({beside})"


def verdict(value, budget):
    return "**holds**" if value <= budget else "**breaks**"


# ---- Words ---------------------------------------------------------------------------------------------------------------


def percent(share):
    return f"{100 * share:.2g}%" if share < 1 else f"{100 * share:,.0f}%"


def with_spread(prediction, form):
    value, error = prediction
    return f"{form(value)} ± {form(error)}"


def size(number):
    """Bytes in decimal units."""
    for unit, scale in (("TB", 1e12), ("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if abs(number) >= scale:
            return f"{number / scale:.3g} {unit}"
    return f"{number:.3g} B"


def table(titles, rows):
    lines = ["| " + " | ".join(titles) + " |", "|" + " --- |" * len(titles)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows])


def refusal(slope):
    if slope is None:
        return NOT_MEASURED
    if "exponent" not in slope:
        return "no straight line, not extrapolated"
    return f"grows by the power {slope['exponent']:.2f} ± {slope['exponent_error']:.2f}: not extrapolated"


def figure_or(point, measure, form):
    """A point's figure, with the point's status if it was stopped or has no figure."""
    if point is None:
        return NOT_MEASURED
    value = point.get("measured", {}).get(measure)
    if value is None:
        return f"{NOT_MEASURED} ({point['status']})"
    if point["status"] == "done":
        return form(value)
    return f"{form(value)} ({point['status']} at {point['measured']['measured_seconds']:g} s)"


def milliseconds(value):
    return f"{value:,.0f} ms" if value >= 10 else f"{value:.1f} ms"


def seconds(value):
    return f"{value:.2g} s"


def megabytes(value):
    return f"{value:,.0f} MB" if value >= 10 else f"{value:.1f} MB"


# ---- Figures that several blocks need -------------------------------------------------------------------------------------


def bytes_per_list_entry(run):
    """Mean size of an entry of discovery's list, from the largest complete list that was generated."""
    lists = [point for point in run.data["points"] if "list_bytes" in point.get("counts", {})]
    largest = max(lists, key=lambda point: point["world"]["servers"])
    return largest["counts"]["list_bytes"] / largest["world"]["servers"]


def bytes_per_report(run):
    slope = run.slope("reports", "bytes_in_per_second")
    return None if slope is None or not slope["straight"] else (slope["slope"], slope["slope_error"])


# ---- Blocks ---------------------------------------------------------------------------------------------------------------


def block_runs(runs):
    rows = []
    for run in runs.values():
        data, machine = run.data, run.data["machine"]
        status = [point["status"] for point in data["points"]]
        told = ", ".join(f"{status.count(kind)} {kind}" for kind in sorted(set(status)))
        rows.append(
            [
                f"[{run.name}](capacity/{run.name}.json)",
                data["revision"] or "not told",
                str(data["seed"]),
                data["started"],
                f"{machine['processor']}, {machine['cores']} cores, {machine['memory_mb'] / 1000:,.0f} GB",
                f"{machine['load_before']} → {machine['load_after']}",
                f"{len(status)}: {told}",
            ]
        )
    return table(["run", "text", "seed", "started", "machine", "load average", "points"], rows)


def block_given(runs):
    run = current(runs)
    entry, report = bytes_per_list_entry(run), bytes_per_report(run)
    rows = [
        ["planners in a region / a zone", f"{PLANNERS:,} / {REGIONS}; / {ZONES}", f"{PLANNERS / REGIONS:,.0f} / {PLANNERS / ZONES:,.0f}"],
        ["servers in a region / a zone", f"{SERVERS:,} / {REGIONS}; / {ZONES}", f"{SERVERS / REGIONS:,.0f} / {SERVERS / ZONES:,.0f}"],
        ["servers a service, in the mean", f"{SERVERS:,} / {SERVICES:,}", f"{SERVERS / SERVICES:,.0f}"],
        ["RPCs a second, a planner / a server", f"{RPCS_PER_SECOND:,} / {PLANNERS:,}; / {SERVERS:,}", f"{RPCS_PER_SECOND / PLANNERS:,.0f} / {RPCS_PER_SECOND / SERVERS:,.0f}"],
        ["changes of servers a second, in the mean", f"({FAILED_PER_DAY} + {REPLACED_PER_DAY:,}) / {SECONDS_PER_DAY:,}", f"{CHANGES_PER_SECOND:.3f}"],
        ["changes of configuration a second, in the mean", f"{CONFIGURATION_CHANGES_PER_DAY:,} / {SECONDS_PER_DAY:,}", f"{CONFIGURATION_CHANGES_PER_SECOND:.2f}"],
        ["planners for each of the machines set aside", f"{PLANNERS:,} / {MACHINES}", f"{PLANNERS / MACHINES:,.0f}"],
        ["control of all planners", f"{PLANNERS:,} x {size(BUDGET_BYTES)}/s; x {percent(BUDGET_SHARE)}", f"{size(PLANNERS * BUDGET_BYTES)}/s; {PLANNERS * BUDGET_SHARE:,.0f} cores"],
        ["control through one of the machines, if all passes there", f"{PLANNERS / MACHINES:,.0f} x {size(BUDGET_BYTES)}/s", f"{size(PLANNERS / MACHINES * BUDGET_BYTES)}/s"],
        ["one whole list", f"{SERVERS:,} x {entry:.0f} B (a list made by `bench/scale/world.cpp`)", size(SERVERS * entry)],
    ]
    if report:
        rows.append(
            [
                "reports that fill a planner's budget of bytes",
                f"{BUDGET_BYTES:,} / {report[0]:.1f} ± {report[1]:.1f} B ({run.name}, `reports`, `bytes_in_per_second`)",
                f"{BUDGET_BYTES / report[0]:,.0f} a second",
            ]
        )
    return table(["figure", "from", "is"], rows)


SLOPES_USED = [
    ("proxies", "processor_share"),
    ("proxies", "core_mb"),
    ("proxies", "start_seconds"),
    ("proxies", "bytes_out_per_second"),
    ("servers", "processor_share"),
    ("servers", "turn_ms_100"),
    ("servers", "start_seconds"),
    ("servers", "core_mb"),
    ("servers", "bytes_in_per_second"),
    ("services", "processor_share"),
    ("services", "turn_ms_100"),
    ("services", "core_mb"),
    ("changes", "processor_share"),
    ("changes", "bytes_out_per_second"),
    ("changes", "delivery_ms_99"),
    ("reports", "processor_share"),
    ("reports", "bytes_in_per_second"),
    ("routes", "index_build_seconds"),
    ("routes", "index_mb"),
    ("routes", "lookup_us_50"),
    ("tenants", "limiters_mb"),
    ("tenants", "limiter_us_50"),
]


def block_slopes(runs):
    rows = []
    for run in runs.values():
        for sweep, measure in SLOPES_USED:
            slope = run.slope(sweep, measure)
            if slope is None:
                rows.append([run.name, sweep, measure, "", "", "", NOT_MEASURED])
                continue
            sizes = [point["world"][slope["varied"]] for point in run.points(sweep) if point["status"] == "done"]
            rows.append(
                [
                    run.name,
                    f"{sweep}, {min(sizes):,g} to {max(sizes):,g}",
                    measure,
                    f"{slope['intercept']:.3g} ± {slope['intercept_error']:.1g}",
                    f"{slope['slope']:.3g} ± {slope['slope_error']:.1g}",
                    f"{slope['largest_residual']:.2g}",
                    "straight" if slope["straight"] else refusal(slope),
                ]
            )
    return table(["run", "varied", "measure", "at none", "for each", "largest residual", "line"], rows)


def row_proxy_stream(run):
    one = run.points("proxies", proxies=PROXIES_PER_PLANNER)[0]["measured"]
    memory = predict(run.slope("proxies", "core_mb"), 0)
    per_proxy = run.slope("proxies", "core_mb")
    processor = run.slope("proxies", "processor_share")
    state = "what it was told, by server; its bindings"
    messages = f"{one['messages_out_per_second'] / PROXIES_PER_PLANNER:.2f}/s out at 1 change/s"
    bytes_out = one["bytes_out_per_second"] / PROXIES_PER_PLANNER
    return [
        "proxy's stream, in the planner",
        state,
        messages,
        f"{percent(processor['slope'])} ± {percent(processor['slope_error'])} a proxy" if processor["straight"] else refusal(processor),
        f"{size(per_proxy['slope'] * 1e6)} ± {size(per_proxy['slope_error'] * 1e6)}" if memory else refusal(per_proxy),
        f"{size(bytes_out)}/s out at 1 change/s, {PROXIES_PER_PLANNER} proxies, 1,000 servers, 10 services",
        verdict(bytes_out * PROXIES_PER_PLANNER, BUDGET_BYTES)
        + f" beside {size(BUDGET_BYTES)}/s: {PROXIES_PER_PLANNER} such streams have {size(bytes_out * PROXIES_PER_PLANNER)}/s. Its socket: {NOT_MEASURED} here",
        "`src/outbox/`, `src/net/`",
    ]


def row_planner(run):
    whole = run.named(SERVERS, SERVICES)
    share = breaks_at(run, "servers", "servers", "processor_share", BUDGET_SHARE)
    services = breaks_at(run, "services", "services", "processor_share", BUDGET_SHARE)
    heard = breaks_at(run, "servers", "servers", "bytes_in_per_second", BUDGET_BYTES)
    verdicts = [
        "processor: " + verdict_between(share, "servers", "10 services, all heard, 1 change/s"),
        "processor: " + verdict_between(services, "services", "1,000 servers"),
        "bytes: " + verdict_between(heard, "servers", "heard once a second"),
        f"memory in one service of {SERVERS:,}: " + memory_verdict(run.named(SERVERS, 1)),
        f"memory in {SERVICES:,} services: " + memory_verdict(whole),
    ]
    return [
        "planner",
        "every server, with a place in each of its pools; every table",
        f"{SERVERS / REPORT_EVERY_SECONDS:,.0f} reports/s in, if all servers are heard",
        f"at the size: {figure_or(whole, 'processor_share', percent)}; by servers {refusal(run.slope('servers', 'processor_share'))}",
        planner_memory(run, whole),
        heard_bytes(run),
        "; ".join(verdicts),
        "`src/balance.hpp`, `src/memberships.hpp`, `src/tables.hpp` (work by what changed), `src/planner/core.cpp`; **missing**: a working set of services and servers",
    ]


def planner_memory(run, whole):
    line = predict(run.slope("servers", "core_mb"), SERVERS)
    by_line = with_spread(line, megabytes) if line else refusal(run.slope("servers", "core_mb"))
    return (
        f"at the size: {figure_or(whole, 'core_mb', megabytes)}; {SERVERS:,} servers in one service: "
        f"{figure_or(run.named(SERVERS, 1), 'core_mb', megabytes)}; in 10, by the line of `servers`, `core_mb`: {by_line}"
    )


def heard_bytes(run):
    line = predict(run.slope("servers", "bytes_in_per_second"), SERVERS)
    if line is None:
        return f"in: {refusal(run.slope('servers', 'bytes_in_per_second'))}"
    return f"in: {with_spread(line, lambda v: size(v) + '/s')} if all servers are heard once a second (`servers`, `bytes_in_per_second`)"


def memory_verdict(point):
    value = None if point is None else point.get("measured", {}).get("core_mb")
    if value is None:
        return NOT_MEASURED
    return f"{verdict(value, BUDGET_MB)} ({megabytes(value)} beside {BUDGET_MB} MB)"


def list_verdict(most):
    word = "holds" if most >= SERVERS else "breaks"
    return f"**{word}** (up to {most:,.0f} servers)"


def row_discovery(run):
    entry = bytes_per_list_entry(run)
    whole = SERVERS * entry
    most = LIST_LIMIT / entry
    return [
        "discovery's agent",
        "the list and its version",
        f"{CHANGES_PER_SECOND:.3f} changes/s, each to every planner that follows it",
        NOT_MEASURED,
        f"{NOT_MEASURED}; one whole list is {size(whole)}",
        f"changes: {size(2 * entry * CHANGES_PER_SECOND)}/s a planner (two entries each)",
        f"a whole list, of {size(LIST_LIMIT)} at most: {list_verdict(most)}",
        "`src/net/discovery_watch.cpp`, `src/protocol/server_list.hpp`; **missing**: relays",
    ]


def row_collector(run):
    report = bytes_per_report(run)
    a_zone = SERVERS / ZONES / REPORT_EVERY_SECONDS
    out = "" if report is None else f"{size(a_zone * report[0])}/s for each planner that it reports to, {size(a_zone * report[0] * PLANNERS)}/s for all"
    return [
        "collector, one a zone",
        f"{SERVERS / ZONES:,.0f} servers' counts",
        f"{a_zone:,.0f} reports/s to each planner",
        NOT_MEASURED,
        NOT_MEASURED,
        out or NOT_MEASURED,
        "**breaks**: every collector tells every planner of all its servers; see the planner's bytes",
        "`src/net/acceptor.cpp` (one line a report); **missing**: reports by subscription, sums on the way",
    ]


def row_machines():
    each = PLANNERS / MACHINES
    return [
        f"the {MACHINES} machines: relays of lists, configuration and reports",
        "no program has this role",
        NOT_MEASURED,
        NOT_MEASURED,
        NOT_MEASURED,
        f"{size(each * BUDGET_BYTES)}/s each if all control of {each:,.0f} planners passes there (arithmetic of the budget)",
        NOT_MEASURED,
        "**missing**: versions, snapshot and changes, bounded resynchronization",
    ]


def row_owner_of_limits(run):
    memory = run.slope("tenants", "limiters_mb")
    point = run.points("tenants", tenants=TENANTS)[0]
    cost = point["measured"]["limiter_us_50"] * 1e-6
    return [
        "owner of tenants' limits",
        "one limiter a tenant, in one process",
        f"{RPCS_PER_SECOND:,} RPCs/s, if each is asked there",
        f"{RPCS_PER_SECOND * cost:.2g} cores for all RPCs ({cost * 1e6:.2g} µs to ask and be done)",
        f"{figure_or(point, 'limiters_mb', megabytes)} for {TENANTS:,} ({size(memory['slope'] * 1e6)} ± {size(memory['slope_error'] * 1e6)} each)",
        NOT_MEASURED,
        f"memory in one process: {verdict(point['measured']['limiters_mb'], BUDGET_MB)} beside {BUDGET_MB} MB; over planners: {NOT_MEASURED}",
        "`src/routing/limiter.hpp` (of a pool; stands for a tenant's here); **missing**: leased shares, owners by consistent hashing",
    ]


def row_publisher(run):
    point = run.points("routes", routes=ROUTES)[0]["measured"]
    share = point["index_build_seconds"] * CONFIGURATION_CHANGES_PER_SECOND
    slope = run.slope("routes", "index_build_seconds")
    at = f"{BUDGET_SHARE / CONFIGURATION_CHANGES_PER_SECOND / slope['slope']:,.0f}" if slope["straight"] else "?"
    return [
        "publisher of configuration, and who takes it",
        f"{ROUTES:,} routes",
        f"{CONFIGURATION_CHANGES_PER_SECOND:.2f} changes/s to {PLANNERS:,} planners",
        f"{percent(share)} of a core to make the index anew at each change ({point['index_build_seconds'] * 1e3:.1f} ms each)",
        f"{point['index_mb']:.1f} MB of index",
        NOT_MEASURED,
        (f"one index at each change: **breaks at {at}** routes" if share > BUDGET_SHARE else f"one index at each change: **holds** (budget {percent(BUDGET_SHARE)}, alone reached at {at} routes)")
        + f"; in force everywhere within 5 s: {NOT_MEASURED}",
        "`src/routing/route_index.cpp`; **missing**: changes sent, an index changed in place",
    ]


def row_stores():
    return [
        "stores",
        "no program has this role",
        *[NOT_MEASURED] * 5,
        "**missing**; `src/record/` keeps one planner's own past and no configuration",
    ]


def block_roles(runs):
    run = current(runs)
    rows = [
        row_proxy_stream(run),
        row_planner(run),
        row_discovery(run),
        row_collector(run),
        row_machines(),
        row_owner_of_limits(run),
        row_publisher(run),
        row_stores(),
    ]
    titles = ["role", "state", "messages", "processor time", "memory", "bytes", "beside the budget", "carried by"]
    return f"Rows stand on the run `{run.name}`.\n\n" + table(titles, rows)


def block_budget_limits(runs):
    """The sizes between which measured points exceed the planner's budgets."""
    rows = []
    for run in runs.values():
        for varied, sweep, beside in (
            ("servers", "servers", "10 services, 16 proxies, all heard, 1 change/s"),
            ("services", "services", "1,000 servers, 16 proxies, all heard, 1 change/s"),
            ("proxies", "proxies", "1,000 servers, 10 services, all heard, 1 change/s"),
            ("changes_per_second", "changes", "1,000 servers, 10 services, 16 proxies, all heard"),
        ):
            unit = varied.replace("_", " ")
            rows.append(
                [
                    run.name,
                    unit,
                    verdict_between(breaks_at(run, sweep, varied, "processor_share", BUDGET_SHARE), unit, beside),
                    verdict_between(breaks_at(run, sweep, varied, "core_mb", BUDGET_MB), unit, beside),
                    verdict_between(breaks_at(run, sweep, varied, "delivery_ms_99", BUDGET_IN_FORCE_MS), unit, beside),
                ]
            )
    titles = ["run", "varied", f"processor {percent(BUDGET_SHARE)}", f"memory {BUDGET_MB} MB", "99 of 100 withdrawals written within 5 s"]
    return table(titles, rows)


def block_sizes(runs):
    """The named sizes and the combinations of servers and services, with all runs side by side."""
    rows = []
    first = next(iter(runs.values()))
    for sweep in ("named sizes", "servers x services", "proxies x changes"):
        for point in first.points(sweep):
            world = point["world"]
            cells = [f"{world['proxies']:,}", f"{world['servers']:,}", f"{world['services']:,}", f"{world['changes_per_second']:g}"]
            cells.append(("heard" if world["reports_per_second"] else "not heard") + ("" if world["demand"] else ", no demand told"))
            for run in runs.values():
                same = [other for other in run.points(sweep) if other["world"] == world]
                other = same[0] if same else None
                cells += [figure_or(other, "processor_share", percent), figure_or(other, "turn_ms_100", milliseconds)]
                cells += [figure_or(other, "start_seconds", seconds), figure_or(other, "core_mb", megabytes)]
            rows.append(cells)
    titles = ["proxies", "servers", "services", "changes/s", "reports"]
    for run in runs.values():
        titles += [f"{run.name}: of a core", "longest turn", "start", "core memory"]
    return table(titles, rows)


def block_days(runs):
    run = current(runs)
    changes = predict(run.slope("changes", "processor_share"), CHANGES_PER_SECOND)
    rows = [
        [
            "ordinary day",
            f"{CHANGES_PER_SECOND:.3f} changes/s",
            f"{with_spread(changes, percent)} of a core at 1,000 servers, 10 services (`changes`, `processor_share`)" if changes else refusal(run.slope("changes", "processor_share")),
            f"at the size: {NOT_MEASURED}",
        ]
    ]
    scenarios = {
        "steady": ("as a yardstick for the next rows", "1 server replaced a second"),
        "burst": ("burst", "100 servers replaced at once"),
        "zone_loss": ("a zone, as far as one planner sees it", "a third of the servers lost, back cold after 4 s"),
        "release": ("a release", "a hundredth of the servers drained each second"),
        "mass_join": ("all proxies of a planner join at once", "their streams end and begin anew"),
    }
    for scenario, (name, what) in scenarios.items():
        point = run.points("scenarios", scenario=scenario)[0]
        measured, counts = point["measured"], point["counts"]
        delivery = "" if "delivery_ms_100" not in measured else (
            f"withdrawals written after {milliseconds(measured['delivery_ms_50'])} / {milliseconds(measured['delivery_ms_99'])} / "
            f"{milliseconds(measured['delivery_ms_100'])} for 50, 99, 100 of 100; {counts['withdrawals_written']} of "
            f"{counts['withdrawals_told']} servers were withdrawn anywhere when the run ended"
        )
        rows.append(
            [
                name,
                f"{what}; {point['world']['proxies']} proxies, {point['world']['servers']:,} servers, {point['world']['services']} services",
                f"{percent(measured['processor_share'])} of a core, longest turn {milliseconds(measured['turn_ms_100'])}",
                delivery or NOT_MEASURED,
            ]
        )
    entry = bytes_per_list_entry(run)
    whole = SERVERS * entry
    start = run.named(SERVERS, 1)
    rows += [
        ["a rack", "its number of servers is not given", NOT_MEASURED, "the burst of 100 is the nearest that was run"],
        ["a zone at the size", f"{SERVERS / ZONES:,.0f} servers and {PLANNERS / ZONES:,.0f} planners", NOT_MEASURED, NOT_MEASURED],
        ["a region cut off and healed", f"{SERVERS / REGIONS:,.0f} servers and {PLANNERS / REGIONS:,.0f} planners", NOT_MEASURED, NOT_MEASURED],
        [
            "all planners restarted",
            f"{PLANNERS:,} whole lists of {size(whole)}: {size(PLANNERS * whole)}; {size(PLANNERS / MACHINES * whole)} from each of {MACHINES} machines",
            f"start at 56,000 servers in one service: {figure_or(start, 'start_seconds', seconds)}; in 1,100: {figure_or(run.named(SERVERS, SERVICES), 'start_seconds', seconds)}",
            f"one list takes {whole / BUDGET_BYTES:,.0f} s at {size(BUDGET_BYTES)}/s; from sockets: {NOT_MEASURED}",
        ],
    ]
    return table(["event", "is", "processor time", "in force"], rows)


def block_assumed(runs):
    run = current(runs)
    rows = []
    for name, factor in (("four times fewer", 1 / VARIATION_FACTOR), ("four times more", VARIATION_FACTOR)):
        proxies = predict(run.slope("proxies", "processor_share"), PROXIES_PER_PLANNER * factor)
        rows.append(
            [
                f"{PROXIES_PER_PLANNER} proxies a planner",
                f"{name}: {PROXIES_PER_PLANNER * factor:g}",
                f"{with_spread(proxies, percent)} of a core at 1,000 servers, 10 services" if proxies else refusal(run.slope("proxies", "processor_share")),
            ]
        )
    report = bytes_per_report(run)
    for name, factor in (("four times rarer", VARIATION_FACTOR), ("four times as often", 1 / VARIATION_FACTOR)):
        every = REPORT_EVERY_SECONDS * factor
        heard = NOT_MEASURED if report is None else f"{BUDGET_BYTES / report[0] * every:,.0f} servers heard fill {size(BUDGET_BYTES)}/s"
        rows.append([f"a report on each server each {REPORT_EVERY_SECONDS} s", f"{name}: {every:g} s", heard])
    for name, factor in (("a quarter", 1 / VARIATION_FACTOR), ("four times", VARIATION_FACTOR)):
        changes = predict(run.slope("changes", "processor_share"), CHANGES_PER_SECOND * factor)
        rows.append(
            [
                f"{CHANGES_PER_SECOND:.3f} changes of servers a second (given)",
                f"{name}: {CHANGES_PER_SECOND * factor:.3f}",
                f"{with_spread(changes, percent)} of a core at 1,000 servers, 10 services" if changes else refusal(run.slope("changes", "processor_share")),
            ]
        )
    for point in run.points("skew"):
        rows.append(
            [
                "skew of the services' sizes: Zipf, exponent 0.9 (one service of 5,227 among 1,100)",
                f"exponent {point['world']['skew']:g}",
                f"{figure_or(point, 'processor_share', percent)} of a core at 1,000 servers, 10 services",
            ]
        )
    for name, factor in (("a quarter", 1 / VARIATION_FACTOR), ("four times", VARIATION_FACTOR)):
        entry = bytes_per_list_entry(run) * factor
        rows.append([f"{bytes_per_list_entry(run):.0f} bytes an entry of the list", f"{name}: {entry:.0f}", f"one list holds {LIST_LIMIT / entry:,.0f} servers"])
    return table(["assumed", "if it is off by four", "then"], rows)


BLOCKS = {
    "runs": block_runs,
    "given": block_given,
    "slopes": block_slopes,
    "roles": block_roles,
    "walls": block_budget_limits,
    "sizes": block_sizes,
    "days": block_days,
    "assumed": block_assumed,
}


def current(runs):
    return runs.get("after", runs["before"])


def render(page, runs):
    def fill(match):
        name = match.group(1)
        if name not in BLOCKS:
            raise KeyError(f"no block '{name}'")
        return f"<!-- capacity.py: {name} -->\n{BLOCKS[name](runs)}\n<!-- end -->"

    return re.sub(r"<!-- capacity\.py: (\w+) -->\n.*?<!-- end -->", fill, page, flags=re.DOTALL)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    mode = parser.add_mutually_exclusive_group(required=True)
    mode.add_argument("--check", action="store_true")
    mode.add_argument("--write", action="store_true")
    arguments = parser.parse_args()
    try:
        paths = {name: RESULTS / f"{name}.json" for name in ("before", "after")}
        runs = {name: Run(name, path) for name, path in paths.items() if name == "before" or path.exists()}
        page = PAGE.read_text()
        rendered = render(page, runs)
    except (OSError, ValueError, KeyError, IndexError) as bad:
        print(f"capacity.py: {bad!r}", file=sys.stderr)
        return BAD_USAGE
    if arguments.write:
        PAGE.write_text(rendered)
        return 0
    if page != rendered:
        print("capacity.py: docs/CAPACITY.md is not what the results give: bench/scale/capacity.py --write", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
