#!/usr/bin/env python3
"""deploy/balancer.toml names every file of the decision package, and only paths that exist.

usage: deploy_test.py ROOT
"""

import pathlib
import sys
import tomllib


def faults(root):
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    named = set(deploy["policy"])
    held = {path.relative_to(root).as_posix() for path in (root / "src" / "decision").iterdir()}
    for path in sorted(held - named):
        yield f"policy lacks {path}"
    for path in sorted(named - held):
        yield f"policy names {path}, which is not there"
    for path in deploy["node"]:
        if not (root / path).is_dir():
            yield f"node names {path}, which is not there"


def main(words):
    found = list(faults(pathlib.Path(words[0])))
    print("\n".join(found))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
