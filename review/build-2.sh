#!/bin/sh
# Builds what the cases 6 to 10 start besides the project's own programs: their stand-ins are Python files that run on
# the virtual environment of the deploy file's build, so that checking them is all there is to do.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python - <<'END'
import ast, pathlib
for path in (pathlib.Path("review/stage.py"), *(pathlib.Path(f"review/{number}/case.py") for number in range(6, 11))):
    ast.parse(path.read_text(), str(path))
END
