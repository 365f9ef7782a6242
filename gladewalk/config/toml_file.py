"""Reads TOML files into typed tables; reports each error as one line, `file: table.key: why`."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

import msgspec

from .platform import ConfigError

TableT = TypeVar("TableT", bound=msgspec.Struct)

SYNTAX_ERROR_PREFIX = "not valid TOML: "

# These patterns match the texts of msgspec's ValidationError.
LOCATION_PATTERN = re.compile(r" - at `\$\.?(.*)`\Z")
UNKNOWN_FIELD_PATTERN = re.compile(r"Object contains unknown field `(.*)`\Z")
MISSING_FIELD_PATTERN = re.compile(r"Object missing required field `(.*)`\Z")


def load_toml(
    path: str | Path, table: type[TableT], syntax_error_prefix: str = SYNTAX_ERROR_PREFIX
) -> TableT:
    """Reads a file into a table.

    Args:
        path: The file.
        table: The type to convert to.
        syntax_error_prefix: Text in front of the parser's message if the file is not valid TOML.

    Raises:
        ConfigError: The file cannot be read, is not valid TOML, or cannot be converted to the type.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: {syntax_error_prefix}{error}") from error
    return parse_toml(text, table, path, syntax_error_prefix)


def parse_toml(
    text: str, table: type[TableT], path: str | Path, syntax_error_prefix: str = SYNTAX_ERROR_PREFIX
) -> TableT:
    """Converts the text of a file to a table; error texts begin with `path`.

    Raises:
        ConfigError: The text is not valid TOML or cannot be converted to the type.
    """
    try:
        return msgspec.convert(tomllib.loads(text), table)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {describe_error(error)}") from error
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{path}: {syntax_error_prefix}{error}") from error


@contextmanager
def prefix_config_errors(path: str | Path) -> Iterator[None]:
    """Prefixes the file's path to the text of any `ConfigError` raised in the `with` block."""
    try:
        yield
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def describe_error(error: msgspec.ValidationError) -> str:
    """Formats a validation error as `table.key: why`."""
    text, table_path = str(error), ""
    if matched := LOCATION_PATTERN.search(text):
        text, table_path = text[: matched.start()], matched[1].replace("[...]", "")
    if matched := UNKNOWN_FIELD_PATTERN.match(text):
        return f"{_join_keys(table_path, matched[1])}: no such setting"
    if matched := MISSING_FIELD_PATTERN.match(text):
        return f"{_join_keys(table_path, matched[1])}: is missing"
    return f"{table_path or 'the file'}: {text[:1].lower()}{text[1:]}"


def _join_keys(table_path: str, key: str) -> str:
    return f"{table_path}.{key}" if table_path else key
