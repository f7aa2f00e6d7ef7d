#!/usr/bin/env python3
"""The command line of today, compared byte for byte: exit code, standard output and standard error of each call.

usage: golden_command_test.py PROGRAM [--write]

Pinned, in tests/data/golden/command.txt: the help of the program and of each command; `import haproxy` over the
corpus tests/haproxy, with the operator's file, the text report and the JSON report; `check` and `explain` on stored
operator's files; `replay` on stored recordings; calls that are wrong. A command that would serve is not
called. Calls run with the repository's root as working directory and an environment of their own, so that nothing
of the machine is in the transcript. The only value that is masked is the version of src/command/version.hpp (mask()).

The layout of help is that of the CLI11 library (2.1 or newer, as CMakeLists.txt asks); another version of it may
lay it out otherwise, and would need the goldens renewed.

--write makes the golden anew and ends with 1, so that no run passes by writing. Renew it only with a change of
behaviour that is intended, and that the commit states.
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
EXAMPLE = "deploy/operator.txtpb"
RECORDING = "tests/data/recording"
SPOILT = "tests/data/recording-spoilt"
SECONDS_MOST = 60

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
    f"check {EXAMPLE}",
    "check tests/data/golden/operator.txtpb",
    "check tests/data/operator-with-faults.txtpb",
    "check tests/data/absent.txtpb",
    "check tests/data/start.json",
]

EXPLAIN = [
    f"explain {EXAMPLE}",
    f"explain {EXAMPLE} --json",
    f"explain {EXAMPLE} --path /img/a.png",
    f"explain {EXAMPLE} --header 'User-Agent: a Bot' --source 192.0.2.1",
    f"explain {EXAMPLE} --header 'User-Agent: a Bot' --source 10.1.2.3",
    f"explain {EXAMPLE} --down ledger/a",
    f"explain {EXAMPLE} --down ledger/a --down b",
    f"explain {EXAMPLE} --down ledger/a --down b --down spare",
    f"explain {EXAMPLE} --down ledger/a --down b --json",
    f"explain {EXAMPLE} --draining b",
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
    f"replay {SPOILT}",
    f"replay {SPOILT} --json",
    f"replay {SPOILT} --verify",
    f"replay {SPOILT} --verify --json",
    "replay tests/data/absent --verify",
    "replay tests/haproxy",
]

WRONG = [
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
    f"explain {EXAMPLE} --unknown",
    "replay --verify",
    f"replay {RECORDING} --unknown",
]


def mask(text):
    """The version changes with each release."""
    version = re.search(r'kVersion = "([^"]+)"', (ROOT / "src/command/version.hpp").read_text()).group(1)
    return text.replace(f"micaroad {version}\n", "micaroad VERSION\n")


def prefixed(prefix, text):
    """Each line with the prefix; a last line without an end is told."""
    lines = text.split("\n")
    last = lines.pop()
    told = [f"{prefix} {line}\n" if line else f"{prefix}\n" for line in lines]
    if last:
        told.append(f"{prefix} {last}\n{prefix}(no end of line)\n")
    return "".join(told)


def transcript_of(program, call):
    ran = subprocess.run(
        [program, *shlex.split(call)],
        cwd=ROOT,
        env={"LC_ALL": "C"},
        stdin=subprocess.DEVNULL,
        capture_output=True,
        timeout=SECONDS_MOST,
        check=False,
    )
    out = mask(ran.stdout.decode("utf-8", "backslashreplace"))
    err = mask(ran.stderr.decode("utf-8", "backslashreplace"))
    header = f"$ {' '.join(['micaroad', call]).rstrip()}\ncode {ran.returncode}\n"
    return header + prefixed("out", out) + prefixed("err", err)


def main(words):
    if len(words) not in (1, 2) or words[1:] not in ([], ["--write"]):
        print(__doc__, file=sys.stderr)
        return 64
    program = str(pathlib.Path(words[0]).resolve())
    calls = HELP + IMPORT + CHECK + EXPLAIN + REPLAY + WRONG
    transcript = "\n".join(transcript_of(program, call) for call in calls)
    if words[1:]:
        GOLDEN.write_bytes(transcript.encode())
        print(f"{GOLDEN.relative_to(ROOT)} written, not compared")
        return 1
    if not GOLDEN.is_file():
        print(f"{GOLDEN.relative_to(ROOT)} is not there")
        return 1
    golden = GOLDEN.read_bytes()
    if golden == transcript.encode():
        print(f"{len(calls)} calls as in {GOLDEN.relative_to(ROOT)}")
        return 0
    before = golden.decode("utf-8", "backslashreplace").split("\n")
    difference = difflib.unified_diff(before, transcript.split("\n"), "golden", "now", lineterm="", n=8)
    print("\n".join(difference))
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
