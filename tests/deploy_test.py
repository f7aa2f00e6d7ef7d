#!/usr/bin/env python3
"""Checks that deploy/balancer.toml lists every file of the decision package and only paths that exist.

usage: deploy_test.py ROOT
"""

import pathlib
import sys
import tomllib


def errors(root):
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    listed = set(deploy["policy"])
    existing = {path.relative_to(root).as_posix() for path in (root / "src" / "decision").iterdir()}
    for path in sorted(existing - listed):
        yield f"policy does not list {path}"
    for path in sorted(listed - existing):
        yield f"policy lists {path}, which does not exist"
    for path in deploy["node"]:
        if not (root / path).is_dir():
            yield f"node lists {path}, which does not exist"


def main(arguments):
    found = list(errors(pathlib.Path(arguments[0])))
    print("\n".join(found))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
