"""The director's options file: loads the TOML file that `--config` names and checks it as a whole."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from .option_tables import (
    ControlOptions,
    DnsOptions,
    DutiesOptions,
    FrontOptions,
    Http2Options,
    LeasesOptions,
    MembersOptions,
    OptionTables,
    StoreOptions,
    TlsOptions,
)
from .platform import ConfigError
from .toml_file import load_toml, prefix_config_errors


@dataclass(slots=True, frozen=True)
class Options:
    """The contents of an options file. Each table is an attribute of its name.

    A table is None if it is absent and not all of its settings have a default.

    Attributes:
        path: The file's path, as it was given.
        folder: The folder that relative paths in the file are resolved against.
    """

    path: str
    folder: Path
    http2: Http2Options
    tls: TlsOptions
    dns: DnsOptions | None
    members: MembersOptions | None
    duties: DutiesOptions
    control: ControlOptions | None
    leases: LeasesOptions | None
    front: FrontOptions
    store: StoreOptions | None

    def resolve_path(self, name: str) -> Path:
        """Returns the path of a file or folder that the options name, relative to the options file."""
        return self.folder / name


def load_options(path: str) -> Options:
    """Loads an options file.

    Raises:
        ConfigError: The file cannot be used; the text is one line, `file: table.key: why`.
    """
    tables = load_toml(path, OptionTables)
    with prefix_config_errors(path):
        check_tables(tables)
    return build_options(tables, path, Path(path).parent)


def read_option_tables(raw: Any) -> OptionTables:
    """Converts and checks the parsed contents of an options file.

    Raises:
        msgspec.ValidationError: A table or a setting cannot be converted.
        ConfigError: Settings contradict each other.
    """
    tables = msgspec.convert(raw, OptionTables)
    check_tables(tables)
    return tables


def build_options(tables: OptionTables, path: str, folder: Path) -> Options:
    """Combines tables with the path and folder of the file that they were read from."""
    return Options(
        path=path,
        folder=folder,
        http2=tables.http2,
        tls=tables.tls,
        dns=tables.dns,
        members=tables.members,
        duties=tables.duties,
        control=tables.control,
        leases=tables.leases,
        front=tables.front,
        store=tables.store,
    )


def check_tables(tables: OptionTables) -> None:
    """Checks constraints that involve several settings or go beyond a setting's type.

    Raises:
        ConfigError: A constraint is violated; the text begins with the setting's key.
    """
    if "tls" in tables.http2.modes and not tables.tls.ca:
        raise ConfigError("tls.ca: is missing, and http2 has the mode 'tls'")
    if bool(tables.tls.certificate) != bool(tables.tls.key):
        raise ConfigError("tls.key: certificate and key go together")
    if not _is_name_template(tables.tls.name):
        raise ConfigError("tls.name: not a name with {uid} or {model} in it")


def _is_name_template(template: str) -> bool:
    try:
        name = template.format(uid="u", model="m")
    except (KeyError, IndexError, ValueError, AttributeError):
        return False
    return bool(name) and not name.startswith(".")
