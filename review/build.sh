#!/bin/sh
# Builds what the cases start beside the director: the stand-ins are Python of the standard library alone, run by the
# interpreter of the deploy file's build, so that checking them is all there is to do.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python - <<'END'
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
