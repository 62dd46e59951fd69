#!/bin/bash
# Builds what the cases 11 to 15 start besides the build of the deploy file.
# Their stand-ins are Python programs that need nothing but the standard library,
# so it only checks that they can be compiled.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'END'
import pathlib

for path in ["11/stand_ins.py", "11/stream_client.py",
             *(f"{number}/case.py" for number in range(11, 16))]:
    if pathlib.Path(path).exists():
        compile(pathlib.Path(path).read_text(encoding="utf-8"), path, "exec")
END
