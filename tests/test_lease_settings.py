"""The `[leases]` table: the error for an invalid setting is one line that names its key."""

import re
from pathlib import Path

import pytest

from gladewalk.config.options import load_options
from gladewalk.config.platform import ConfigError
from gladewalk.leases.start import read_lease_settings

TABLE = (
    "[leases]\nlisten = '127.0.0.1:1'\nkeys = 'k'\nhubs = ['127.0.0.1:2']\n{}"
    "[leases.peers]\na = '127.0.0.1:1'\n{}[store]\nfolder = 's'\n{}"
)


@pytest.mark.parametrize(
    ("name", "text", "message"),
    [
        ("b", TABLE.format("", "", ""), "leases.peers: this director (b) is not among them"),
        ("a", TABLE.format("", "[leases.x]\n", ""), "leases.x: no such setting"),
        (
            "a",
            TABLE.format("grant_margin_ms = 0.0\nstop_margin_ms = 0.0\n", "", ""),
            "leases.grant_margin_ms: too small for the drift; another could be promised while",
        ),
        (
            "a",
            TABLE.format("", "[leases.duties]\npurge = '127.0.0.1:3'\n", ""),
            "leases.duties: purge is a duty of the director's own: see hubs and report_to",
        ),
        (
            "a",
            TABLE.format("", "", "policy = 'none'\n"),
            "store.policy: 'none' would forget what [leases] promised",
        ),
        (
            "a",
            TABLE.format("", "", "").partition("[store]")[0],
            "store.folder: is missing, and [leases] keeps its promises there",
        ),
        ("a", TABLE.format("", "", "").replace(":2'", "'"), "leases.hubs: "),
    ],
)
def test_the_error_for_an_invalid_lease_setting_is_one_line_that_names_its_key(
    tmp_path: Path, name: str, text: str, message: str
) -> None:
    path = tmp_path / "g.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match="^" + re.escape(f"{path}: {message}")):
        read_lease_settings(load_options(str(path)), name)
