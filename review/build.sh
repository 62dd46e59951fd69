#!/bin/sh
# The stand-ins are Python files without dependencies; this checks that they
# compile. The routers need only the build of deploy/system.toml.
cd "$(dirname "$0")" && exec python3 -m compileall -q fleet.py 1 2 3 4
