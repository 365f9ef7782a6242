#!/bin/sh
# Builds what the cases 6 to 10 start besides the project's own programs: their stand-ins are Python files that run on
# the virtual environment of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the deploy file's build first"; exit 2; }
.venv/bin/python -m py_compile review/stage.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py
