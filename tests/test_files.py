"""Checks of source files: the decision module's size limits, the README's example, and imports at start."""

import contextlib
import io
import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_decision_module_is_within_its_line_limits() -> None:
    listed_names = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    paths = (ROOT / "gladewalk" / "policy").glob("*.py")
    assert sorted(listed_names) == sorted(f"gladewalk/policy/{path.name}" for path in paths)
    files = [(ROOT / name).read_text().splitlines() for name in listed_names]
    assert sum(bool(line.strip()) for lines in files for line in lines) <= 740
    assert max(map(len, files)) <= 400
    assert max(len(line) for lines in files for line in lines) <= 110


def test_readme_example_prints_the_documented_output() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        exec(code, {})
    assert output.getvalue() == "cache-1:80\ncache-1:80 parent-1:80\n"


def test_director_without_options_imports_no_optional_part() -> None:
    environ = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
    command = [sys.executable, "-X", "importtime", "-m", "gladewalk"]
    result = subprocess.run(
        command, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=60, check=False
    )
    assert result.returncode == 2 and result.stderr.rstrip().endswith("gladewalk: NODE_CONFIG is not set")
    loaded = {line.rpartition("|")[2].strip() for line in result.stderr.splitlines() if "|" in line}
    assert "gladewalk.director" in loaded
    optional_modules = (
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
    optional = {f"gladewalk.{name}" for name in optional_modules}
    optional |= {
        "rich.console",
        "click",
        "msgspec",
        "pcre2",
        "crc32c",
        "xxhash",
        "crossplane",
        "h2",
        "tomli_w",
    }
    assert not {name for name in loaded if name in optional}
