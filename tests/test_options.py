"""Our own settings and the command line: what is bad is one line, what is off is not there."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from gladewalk.cli.commands import gladewalk
from gladewalk.config.option_tables import Http2Options
from gladewalk.config.options import load_options
from gladewalk.config.platform import ConfigError
from gladewalk.rehearsal.peers import Coordinator, ScriptedPeer, config_for
from tests.h2world import authority

ROOT = Path(__file__).parent.parent
BAD = {
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


class Files(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.file = self.folder / "gladewalk.toml"

    def test_a_bad_setting_is_one_line_that_names_file_and_key(self) -> None:
        for text, why in BAD.items():
            self.file.write_text(text)
            with self.assertRaises(ConfigError) as caught:
                load_options(str(self.file))
            said = str(caught.exception)
            self.assertTrue(said.startswith(f"{self.file}: {why}"), (said, why))
            self.assertEqual(said.count("\n"), 0)

    def test_the_file_that_is_shipped_has_every_default_as_it_is(self) -> None:
        options = load_options(str(ROOT / "deploy" / "gladewalk.toml"))
        self.assertEqual((options.http2, options.dns, options.http2.is_used), (Http2Options(), None, False))
        text = (ROOT / "deploy" / "gladewalk.toml").read_text()
        self.assertEqual(
            [name for name in Http2Options.__struct_encode_fields__ if f"\n{name} = " not in text], []
        )


class Commands(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        coordinator = Coordinator(address="127.0.0.1:1")
        config = config_for([ScriptedPeer(None, address="127.0.0.1:1")], coordinator)  # type: ignore[arg-type]
        (self.folder / "config.json").write_text(json.dumps(config))
        self.env = {**os.environ, "NODE_CONFIG": str(self.folder / "config.json")}

    def options(self, text: str) -> str:
        (self.folder / "own.toml").write_text(text)
        return str(self.folder / "own.toml")

    def start(self, *words: str) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "gladewalk", *words],
            cwd=ROOT, env=self.env, capture_output=True, text=True,
        )  # fmt: skip
        return done.returncode, done.stderr

    def test_a_bad_file_at_the_start_is_one_line_and_exit_2(self) -> None:
        authority().cert_pem.write_to_path(str(self.folder / "ca.pem"))
        (self.folder / "bad.pem").write_text("no key")
        use = "[http2]\nmode = 'tls'\n[tls]\nca = "
        cases = {
            "[http2]\nmode = 1": "http2.mode",
            use + "'none.pem'": "tls.ca: cannot be used: No such file",
            use + "'bad.pem'": "tls.ca: cannot be used",
            use + "'ca.pem'\ncertificate = 'bad.pem'\nkey = 'bad.pem'": "tls.certificate: cannot be used",
            "[dns]\nlisten = 'x'\nzone = 'z.'": "dns.listen: not an address",
        }
        for text, why in cases.items():
            code, said = self.start("run", "--config", self.options(text))
            self.assertEqual((code, said.count("\n")), (2, 1), said)
            self.assertIn(f"own.toml: {why}", said)
        self.assertEqual(self.start("--config", str(self.folder / "none.toml"))[0], 2)

    def test_check_reads_all_and_starts_nothing(self) -> None:
        runner = CliRunner(env=self.env)
        path = self.options("[http2]\nmode = 'h2c'\n[dns]\nlisten = '127.0.0.1:0'\nzone = 'z.'\n")
        done = runner.invoke(gladewalk, ["check", "--json", "--config", path])
        said = json.loads(done.output)
        self.assertEqual((done.exit_code, said["http2"], said["dns"]), (0, "h2c", ["127.0.0.1", 0]))
        self.assertEqual(runner.invoke(gladewalk, ["check", "--config", "nowhere"]).exit_code, 2)
        self.assertEqual(runner.invoke(gladewalk, ["frobnicate"]).exit_code, 2)
        for command in ("run", "check", "import", "rehearse"):
            self.assertEqual(runner.invoke(gladewalk, [command, "--help"]).exit_code, 0)

    def test_what_is_off_is_not_imported(self) -> None:
        probe = (
            "import sys, gladewalk.daemon as d; d.load_configuration(None, None)\n"
            "late = ('h2', 'hpack', 'msgspec', 'click', 'dns', 'tomllib', 'gladewalk.streams',"
            " 'gladewalk.cli.commands', 'gladewalk.config.options', 'gladewalk.dns', 'gladewalk.rehearsal')\n"
            "print(sorted(set(late) & set(sys.modules)))"
        )
        done = subprocess.run(
            [sys.executable, "-c", probe], cwd=ROOT, env=self.env, capture_output=True, text=True
        )
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)
