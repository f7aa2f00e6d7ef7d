#!/usr/bin/env python3
"""Compares exit code, standard output and standard error of the commands with a golden transcript, byte for byte.

usage: golden_command_test.py PROGRAM [--write]

The transcript tests/data/golden/command.txt has the help of the program and of each command; `import haproxy` for each
file of the corpus tests/haproxy, with the operator's file, the text report and the JSON report; `check` and `explain`
for stored operator's files; `replay` for stored recordings; and calls with wrong usage. No call starts a planner.
Calls run in the root of the repository with an environment of their own, so that nothing of the machine gets into
the transcript. Only the version from src/command/version.hpp is masked, by mask().

The layout of help is that of the CLI11 library (2.1 or newer, as CMakeLists.txt requires). Another version may lay it
out differently; the golden must then be renewed.

--write renews the golden and exits with 1, so that no run passes by writing. Renew it only with an intended change of
behaviour that the commit states.
"""

import difflib
import pathlib
import re
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
GOLDEN = ROOT / "tests" / "data" / "golden" / "command.txt"
CORPUS = sorted(path.relative_to(ROOT).as_posix() for path in (ROOT / "tests" / "haproxy").glob("*.cfg"))
OPERATOR = "tests/data/operator.txtpb"
EXAMPLE_OPERATOR = "deploy/operator.txtpb"
RECORDING = "tests/data/recording"
DAMAGED_RECORDING = "tests/data/recording-spoilt"
TIMEOUT_SECONDS = 60

HELP = [
    "--help",
    "serve --help",
    "import --help",
    "import haproxy --help",
    "check --help",
    "explain --help",
    "replay --help",
    "--version",
]

IMPORT = [
    call
    for file in CORPUS
    for call in (
        f"import haproxy {file}",
        f"import haproxy {file} --report json --strict",
    )
] + [
    "import haproxy tests/haproxy/first.cfg --report text",
    "import haproxy tests/haproxy/first.cfg --report text --strict",
    "import haproxy tests/haproxy/equal-servers.cfg --report json",
    "import haproxy tests/haproxy/first.cfg tests/haproxy/limits.cfg",
]

CHECK = [
    f"check {OPERATOR}",
    f"check {EXAMPLE_OPERATOR}",
    "check tests/data/golden/operator.txtpb",
    "check tests/data/operator-with-faults.txtpb",
    "check tests/data/absent.txtpb",
    "check tests/data/start.json",
]

EXPLAIN = [
    f"explain {EXAMPLE_OPERATOR}",
    f"explain {EXAMPLE_OPERATOR} --json",
    f"explain {EXAMPLE_OPERATOR} --path /img/a.png",
    f"explain {EXAMPLE_OPERATOR} --header 'User-Agent: a Bot' --source 192.0.2.1",
    f"explain {EXAMPLE_OPERATOR} --header 'User-Agent: a Bot' --source 10.1.2.3",
    f"explain {EXAMPLE_OPERATOR} --down ledger/a",
    f"explain {EXAMPLE_OPERATOR} --down ledger/a --down b",
    f"explain {EXAMPLE_OPERATOR} --down ledger/a --down b --down spare",
    f"explain {EXAMPLE_OPERATOR} --down ledger/a --down b --json",
    f"explain {EXAMPLE_OPERATOR} --draining b",
    f"explain {OPERATOR} --listener shop",
    f"explain {OPERATOR} --listener shop --json",
    f"explain {OPERATOR} --listener shop --host old.example",
    f"explain {OPERATOR} --listener shop --host old.example --json",
    f"explain {OPERATOR} --listener shop --path '/icons/x?size=2'",
    f"explain {OPERATOR} --listener shop --header x-slow:1",
    f"explain {OPERATOR} --listener shop --method TRACE",
    f"explain {OPERATOR} --listener shop --cookie desk=m-b",
    f"explain {OPERATOR} --listener shop --cookie desk=m-c --down web/c",
    f"explain {OPERATOR} --listener shop --down web/a --down static/a",
    f"explain {OPERATOR} --listener closed",
    f"explain {OPERATOR} --listener closed --json",
]

REPLAY = [
    f"replay {RECORDING}",
    f"replay {RECORDING} --json",
    f"replay {RECORDING} --verify",
    f"replay {RECORDING} --verify --json",
    f"replay {DAMAGED_RECORDING}",
    f"replay {DAMAGED_RECORDING} --json",
    f"replay {DAMAGED_RECORDING} --verify",
    f"replay {DAMAGED_RECORDING} --verify --json",
    "replay tests/data/absent --verify",
    "replay tests/haproxy",
]

WRONG_USAGE = [
    "",
    "serve",
    "serve --operators",
    "serve --operators tests/data/absent.txtpb",
    "serve --operators tests/data/operator-with-faults.txtpb",
    "nonsense --help",
    "nonsense word",
    "--unknown flag",
    "import",
    "import nginx",
    "import haproxy",
    "import haproxy tests/haproxy/absent.cfg",
    "import haproxy tests/haproxy/first.cfg --report yaml",
    "import haproxy tests/haproxy/first.cfg --unknown",
    "import haproxy tests/haproxy/first.cfg --out tests/absent/operator.txtpb",
    "check --unknown",
    f"check {OPERATOR} {OPERATOR}",
    "explain --json",
    "explain tests/data/absent.txtpb",
    f"explain {OPERATOR}",
    f"explain {OPERATOR} --listener absent",
    f"explain {OPERATOR} --listener shop --source nowhere",
    f"explain {OPERATOR} --listener shop --header nothing",
    f"explain {OPERATOR} --listener shop --cookie =value",
    f"explain {OPERATOR} --listener shop --down absent",
    f"explain {OPERATOR} --listener shop --down a",
    f"explain {EXAMPLE_OPERATOR} --unknown",
    "replay --verify",
    f"replay {RECORDING} --unknown",
]


def mask(text):
    """Replaces the version, which changes with each release."""
    version = re.search(r'kVersion = "([^"]+)"', (ROOT / "src/command/version.hpp").read_text()).group(1)
    return text.replace(f"micaroad {version}\n", "micaroad VERSION\n")


def prefixed(prefix, text):
    """Returns the text with the prefix before each line, and marks a last line without an end of line."""
    lines = text.split("\n")
    last = lines.pop()
    prefixed_lines = [f"{prefix} {line}\n" if line else f"{prefix}\n" for line in lines]
    if last:
        prefixed_lines.append(f"{prefix} {last}\n{prefix}(no end of line)\n")
    return "".join(prefixed_lines)


def transcript_of(program, call):
    result = subprocess.run(
        [program, *shlex.split(call)],
        cwd=ROOT,
        env={"LC_ALL": "C"},
        stdin=subprocess.DEVNULL,
        capture_output=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )
    out = mask(result.stdout.decode("utf-8", "backslashreplace"))
    err = mask(result.stderr.decode("utf-8", "backslashreplace"))
    header = f"$ {' '.join(['micaroad', call]).rstrip()}\ncode {result.returncode}\n"
    return header + prefixed("out", out) + prefixed("err", err)


def main(arguments):
    if len(arguments) not in (1, 2) or arguments[1:] not in ([], ["--write"]):
        print(__doc__, file=sys.stderr)
        return 64
    program = str(pathlib.Path(arguments[0]).resolve())
    calls = HELP + IMPORT + CHECK + EXPLAIN + REPLAY + WRONG_USAGE
    transcript = "\n".join(transcript_of(program, call) for call in calls)
    if arguments[1:]:
        GOLDEN.write_bytes(transcript.encode())
        print(f"{GOLDEN.relative_to(ROOT)} written, not compared")
        return 1
    if not GOLDEN.is_file():
        print(f"{GOLDEN.relative_to(ROOT)} does not exist")
        return 1
    golden = GOLDEN.read_bytes()
    if golden == transcript.encode():
        print(f"{len(calls)} calls match {GOLDEN.relative_to(ROOT)}")
        return 0
    golden_lines = golden.decode("utf-8", "backslashreplace").split("\n")
    difference = difflib.unified_diff(golden_lines, transcript.split("\n"), "golden", "now", lineterm="", n=8)
    print("\n".join(difference))
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
