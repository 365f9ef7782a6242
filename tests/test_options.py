"""The options file and the command line: one-line errors, defaults, and imports of optional parts."""

import json
import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest
from click.testing import CliRunner

from gladewalk.cli.commands import gladewalk
from gladewalk.config.option_tables import Http2Options
from gladewalk.config.options import load_options
from gladewalk.config.platform import ConfigError
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for
from gladewalk.rehearsal.scripted_servers import ScriptedServer
from tests.http2_rehearsal import certificate_authority

ROOT = Path(__file__).parent.parent
INVALID_OPTIONS = {
    "[http2]\nmode = 'h3'": "http2.mode: invalid enum value 'h3'",
    "[http2]\nmodes = 'h2c'": "http2.modes: no such setting",
    "[htpp2]\nmode = 'h2c'": "htpp2: no such setting",
    "[http2]\nstreams_most = 0": "http2.streams_most: expected `int` >= 1",
    "[http2]\nstreams_most = 'many'": "http2.streams_most: expected `int`, got `str`",
    "[http2]\nping_after_ms = nan": "http2.ping_after_ms: expected `float` >= 1.0",
    "[http2.by_uid]\nc1 = 'on'": "http2.by_uid: invalid enum value 'on'",
    "[http2]\nmode = 'tls'": "tls.ca: is missing, and http2 has the mode 'tls'",
    "[http2]\nby_uid = {c1 = 'tls'}": "tls.ca: is missing, and http2 has the mode 'tls'",
    "[tls]\nca = 'x'\nkey = 'k'": "tls.key: certificate and key go together",
    "[tls]\nname = '{box}'": "tls.name: not a name with {uid} or {model} in it",
    "[dns]\nlisten = '127.0.0.1:0'": "dns.zone: is missing",
    "[http2": "not valid TOML: ",
}


@pytest.mark.parametrize(("text", "reason"), INVALID_OPTIONS.items())
def test_invalid_setting_is_one_line_that_names_file_and_key(text: str, reason: str, tmp_path: Path) -> None:
    file = tmp_path / "gladewalk.toml"
    file.write_text(text)
    with pytest.raises(ConfigError) as caught:
        load_options(str(file))
    message = str(caught.value)
    assert message.startswith(f"{file}: {reason}")
    assert message.count("\n") == 0


def test_shipped_options_file_lists_every_default() -> None:
    file = ROOT / "deploy" / "gladewalk.toml"
    options = load_options(str(file))
    assert (options.http2, options.dns, options.http2.is_used) == (Http2Options(), None, False)
    text = file.read_text()
    assert [key for key in Http2Options.__struct_encode_fields__ if f"\n{key} = " not in text] == []


@dataclass(slots=True, frozen=True)
class DirectorCommand:
    """A folder with a platform configuration; runs the command line with this configuration."""

    folder: Path
    environ: dict[str, str]

    def write_options(self, text: str) -> str:
        """Writes the options file and returns its path."""
        file = self.folder / "own.toml"
        file.write_text(text)
        return str(file)

    def run(self, *arguments: str) -> tuple[int, str]:
        """Runs the program to its end; returns its exit code and standard error."""
        command = [sys.executable, "-m", "gladewalk", *arguments]
        result = subprocess.run(
            command, cwd=ROOT, env=self.environ, capture_output=True, text=True, check=False
        )
        return result.returncode, result.stderr


@pytest.fixture
def director(tmp_path: Path) -> DirectorCommand:
    cache = ScriptedServer(None, address="127.0.0.1:1")  # type: ignore[arg-type]
    config = config_for([cache], Coordinator(address="127.0.0.1:1"))
    (tmp_path / "config.json").write_text(json.dumps(config))
    return DirectorCommand(tmp_path, {**os.environ, "NODE_CONFIG": str(tmp_path / "config.json")})


USE_CA = "[http2]\nmode = 'tls'\n[tls]\nca = "


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("[http2]\nmode = 1", "http2.mode"),
        (USE_CA + "'none.pem'", "tls.ca: cannot be used: No such file"),
        (USE_CA + "'bad.pem'", "tls.ca: cannot be used"),
        (
            USE_CA + "'ca.pem'\ncertificate = 'bad.pem'\nkey = 'bad.pem'",
            "tls.certificate: cannot be used",
        ),
        ("[dns]\nlisten = 'x'\nzone = 'z.'", "dns.listen: not an address"),
    ],
)
def test_unusable_file_at_start_prints_one_line_and_exits_with_2(
    director: DirectorCommand, text: str, reason: str
) -> None:
    certificate_authority().cert_pem.write_to_path(str(director.folder / "ca.pem"))
    (director.folder / "bad.pem").write_text("no key")
    exit_code, error_text = director.run("run", "--config", director.write_options(text))
    assert (exit_code, error_text.count("\n")) == (2, 1), error_text
    assert f"own.toml: {reason}" in error_text


def test_missing_file_at_start_exits_with_2(director: DirectorCommand) -> None:
    assert director.run("--config", str(director.folder / "none.toml"))[0] == 2


def test_check_command_validates_all_files_and_starts_nothing(director: DirectorCommand) -> None:
    runner = CliRunner(env=director.environ)
    path = director.write_options("[http2]\nmode = 'h2c'\n[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\n")
    result = runner.invoke(gladewalk, ["check", "--json", "--config", path])
    summary = json.loads(result.output)
    assert (result.exit_code, summary["http2"], summary["dns"]) == (0, "h2c", ["127.0.0.1", 0])
    assert runner.invoke(gladewalk, ["check", "--config", "nowhere"]).exit_code == 2
    assert runner.invoke(gladewalk, ["frobnicate"]).exit_code == 2
    for command in ("run", "check", "import", "rehearse"):
        assert runner.invoke(gladewalk, [command, "--help"]).exit_code == 0


def test_optional_parts_that_are_off_are_not_imported(director: DirectorCommand) -> None:
    probe = (
        "import sys, gladewalk.daemon as d; d.load_configuration(None, None)\n"
        "optional = ('h2', 'hpack', 'msgspec', 'click', 'dns', 'tomllib', 'gladewalk.streams',"
        " 'gladewalk.cli.commands', 'gladewalk.config.options', 'gladewalk.dns', 'gladewalk.rehearsal')\n"
        "print(sorted(set(optional) & set(sys.modules)))"
    )
    command = [sys.executable, "-c", probe]
    result = subprocess.run(
        command, cwd=ROOT, env=director.environ, capture_output=True, text=True, check=False
    )
    assert result.stdout.strip() == "[]", result.stderr
