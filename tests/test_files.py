"""What holds of the files: the module's limits and the README's example."""

import contextlib
import io
import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_module_keeps_its_line_limits() -> None:
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    there = (ROOT / "gladewalk" / "policy").glob("*.py")
    assert sorted(named) == sorted(f"gladewalk/policy/{path.name}" for path in there)
    files = [(ROOT / name).read_text().splitlines() for name in named]
    assert sum(bool(line.strip()) for lines in files for line in lines) <= 740
    assert max(map(len, files)) <= 400
    assert max(len(line) for lines in files for line in lines) <= 110


def test_the_readme_example_runs_as_written() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code, {})
    assert out.getvalue() == "cache-1:80\ncache-1:80 parent-1:80\n"


def test_a_director_on_the_platform_imports_nothing_that_is_off() -> None:
    environ = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
    words = [sys.executable, "-X", "importtime", "-m", "gladewalk"]
    done = subprocess.run(
        words, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=60, check=False
    )
    assert done.returncode == 2 and done.stderr.rstrip().endswith("gladewalk: NODE_CONFIG is not set")
    loaded = {line.rpartition("|")[2].strip() for line in done.stderr.splitlines() if "|" in line}
    assert "gladewalk.director" in loaded
    ours = (
        "members",
        "duties",
        "leases",
        "faultnet",
        "rehearsal",
        "control",
        "cli.terminal_output",
        "nginx",
        "web",
        "store",
        "streams",
        "dns",
        "config.options",
        "config.option_tables",
        "config.toml_file",
        "config.key_ring_file",
        "registry.dns_leases",
        "cli",
    )
    off = {f"gladewalk.{name}" for name in ours}
    off |= {"rich.console", "click", "msgspec", "pcre2", "crc32c", "xxhash", "crossplane", "h2", "tomli_w"}
    assert not {name for name in loaded if name in off}
