#!/usr/bin/env python3
"""Makes a Markdown table and SVG plots from a results file of micaroad_scale.

    report.py RESULTS.json --out DIRECTORY

Writes DIRECTORY/report.md and, where gnuplot is at hand, one DIRECTORY/SWEEP-MEASURE.svg for each fitted line.
Exit code 64: the file can't be read as results.
"""

import argparse
import json
import pathlib
import shutil
import subprocess
import sys

BAD_USAGE = 64
PLOTTED = {
    "processor_share": "part of a core",
    "core_mb": "MB",
    "turn_ms_100": "longest turn, ms",
    "start_seconds": "start, s of processor time",
    "bytes_out_per_second": "bytes out a second",
    "delivery_ms_99": "delivery of 99 in 100, ms",
    "index_build_seconds": "index made, s",
    "lookup_us_50": "look-up, µs",
    "limiters_mb": "MB",
}
CORE_COLUMNS = [
    ("of a core", "processor_share", lambda v: f"{100 * v:.2f}%"),
    ("turn ms 50 / 99 / 100", None, None),
    ("start s", "start_seconds", lambda v: f"{v:.3g}"),
    ("core MB", "core_mb", lambda v: f"{v:.1f}"),
    ("bytes in/s", "bytes_in_per_second", lambda v: f"{v:,.0f}"),
    ("bytes out/s", "bytes_out_per_second", lambda v: f"{v:,.0f}"),
    ("delivery ms 50 / 99 / 100", None, None),
]


def quantiles(measured, name):
    values = [measured.get(f"{name}_ms_{part}") for part in (50, 99, 100)]
    return "–" if None in values else " / ".join(f"{value:,.1f}" for value in values)


def core_row(point):
    world, measured = point["world"], point.get("measured", {})
    cells = [
        point["sweep"],
        f"{world['proxies']:,}",
        f"{world['servers']:,}",
        f"{world['services']:,}",
        f"{world['changes_per_second']:g}",
        f"{world['reports_per_second']:g}" + ("" if world["demand"] else ", no demand"),
        world["scenario"],
        point["status"],
    ]
    for title, name, form in CORE_COLUMNS:
        if name is None:
            cells.append(quantiles(measured, title.split()[0]))
        else:
            cells.append(form(measured[name]) if name in measured else "–")
    counts = point.get("counts", {})
    cells.append(f"{counts.get('withdrawals_written', '–')} of {counts.get('withdrawals_told', '–')}")
    cells.append(f"{counts.get('proxies_reached', '–')}")
    return cells


def routing_row(point):
    world, measured = point["world"], point.get("measured", {})
    names = ["index_build_seconds", "index_mb", "lookup_us_50", "lookup_us_99", "limiters_mb", "limiter_us_50", "limiter_us_99"]
    figures = [f"{measured[name]:.3g}" if name in measured else "–" for name in names]
    return [point["sweep"], f"{world['routes']:,}", f"{world['tenants']:,}", point["status"], *figures]


def slope_row(slope):
    if slope["straight"]:
        verdict = "straight"
    elif "exponent" in slope:
        verdict = f"not straight: exponent {slope['exponent']:.2f} ± {slope['exponent_error']:.2f}; not extrapolated"
    else:
        verdict = "not straight; not extrapolated"
    return [
        slope["sweep"],
        slope["measure"],
        f"{slope['intercept']:.4g} ± {slope['intercept_error']:.2g}",
        f"{slope['slope']:.4g} ± {slope['slope_error']:.2g}",
        f"{slope['largest_residual']:.3g}",
        verdict,
    ]


def table(titles, rows):
    lines = ["| " + " | ".join(titles) + " |", "|" + " --- |" * len(titles)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows]) + "\n"


def report(results):
    machine = results["machine"]
    points = results["points"]
    core = [core_row(point) for point in points if point["world"]["workload"] == "core"]
    routing = [routing_row(point) for point in points if point["world"]["workload"] == "routing"]
    core_titles = ["sweep", "proxies", "servers", "services", "changes/s", "reports/s", "scenario", "status"]
    core_titles += [title for title, _, _ in CORE_COLUMNS] + ["withdrawals written", "proxies reached"]
    routing_titles = ["sweep", "routes", "tenants", "status", "index s", "index MB", "look-up µs 50", "99"]
    routing_titles += ["limiters MB", "limiter µs 50", "99"]
    slope_titles = ["sweep", "measure", "at none", "for each", "largest residual", "verdict"]
    not_run = [f"- {point['sweep']}: {json.dumps(point['world'])}: {point['status']}: {point['why']}" for point in points if "why" in point]
    return "\n".join(
        [
            f"# Scale run, {results['preset']}, text {results['revision'] or 'not told'}, seed {results['seed']}\n",
            f"{results['started']}; {machine['processor']}, {machine['cores']} cores, {machine['memory_mb']:,.0f} MB; "
            f"load average {machine['load_before']} before, {machine['load_after']} after.\n",
            "Assumed:\n",
            *[f"- {line}" for line in results["assumed"]],
            "",
            "A point that is `stopped` used up its processor time "
            f"({results['limits']['processor_seconds']:g} s) before its world time was over; its figures stand on less.\n",
            table(core_titles, core),
            table(routing_titles, routing),
            table(slope_titles, [slope_row(slope) for slope in results["slopes"]]),
            "Left out, killed or failed:\n",
            *(not_run or ["- none"]),
            "",
        ]
    )


def plot(results, slope, directory):
    """Plots one sweep's points and, if the fit is straight, the fitted line."""
    points = [
        (point["world"][slope["varied"]], point["measured"][slope["measure"]])
        for point in results["points"]
        if point["sweep"] == slope["sweep"] and point["status"] == "done" and slope["measure"] in point["measured"]
    ]
    data = "\n".join(f"{x} {y}" for x, y in points)
    line = f"{slope['intercept']!r} + {slope['slope']!r} * x"
    drawn = "$points with points pt 7 title 'measured'"
    if slope["straight"]:
        drawn += f", {line} with lines title 'least squares'"
    script = (
        "set terminal svg size 640,400\n"
        f"set output '{directory / (slope['sweep'] + '-' + slope['measure'] + '.svg')}'\n"
        f"set xlabel '{slope['sweep']}'\nset ylabel '{PLOTTED[slope['measure']]}'\nset key left top\nset yrange [0:*]\n"
        f"$points << end\n{data}\nend\nplot {drawn}\n"
    )
    subprocess.run(["gnuplot"], input=script, text=True, check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("results", type=pathlib.Path)
    parser.add_argument("--out", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    try:
        results = json.loads(arguments.results.read_text())
        text = report(results)
    except (OSError, ValueError, KeyError) as bad:
        print(f"report.py: {arguments.results}: {bad!r}", file=sys.stderr)
        return BAD_USAGE
    arguments.out.mkdir(parents=True, exist_ok=True)
    (arguments.out / "report.md").write_text(text)
    if shutil.which("gnuplot") is None:
        print("report.py: no gnuplot: no plots", file=sys.stderr)
        return 0
    for slope in results["slopes"]:
        if slope["measure"] in PLOTTED:
            plot(results, slope, arguments.out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
