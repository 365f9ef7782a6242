"""Loads key ring files: one hexadecimal key per line, accessible only by the file's owner.

Keys are never logged, and no error text contains one.
"""

from __future__ import annotations

import os
import stat
from pathlib import Path

from .platform import ConfigError

OTHERS_ACCESS_BITS = 0o077
MAX_KEY_BYTES = 4_096


def load_hex_keys(path: Path, setting: str, min_bytes: int, max_bytes: int = MAX_KEY_BYTES) -> list[bytes]:
    """Returns the keys of a file in file order; empty lines and lines that begin with `#` are skipped.

    Args:
        path: The file.
        setting: The setting in the options file that names the key ring file, for error texts.
        min_bytes: Minimum length of a key.
        max_bytes: Maximum length of a key.

    Raises:
        ConfigError: The file cannot be read, is accessible by users other than its owner or contains no key;
            or a key is not hexadecimal, has the wrong length or is a duplicate. The text contains no key.
    """
    keys = [
        _parse_key(line, f"{path}: {setting}: key {number}", min_bytes, max_bytes)
        for number, line in enumerate(_read_lines(path, setting), 1)
    ]
    if not keys:
        raise ConfigError(f"{path}: {setting}: no key")
    if len(set(keys)) < len(keys):
        raise ConfigError(f"{path}: {setting}: a key stands there twice")
    return keys


def _read_lines(path: Path, setting: str) -> list[str]:
    try:
        descriptor = os.open(path, os.O_RDONLY)
        with os.fdopen(descriptor, encoding="ascii") as file:
            # A key that other users can read is not secret.
            if stat.S_IMODE(os.fstat(file.fileno()).st_mode) & OTHERS_ACCESS_BITS:
                raise ConfigError(f"{path}: {setting}: others than its owner may read it (chmod 600)")
            return [line.strip() for line in file if line.strip() and not line.startswith("#")]
    except OSError as error:
        raise ConfigError(f"{path}: {setting}: {error.strerror or error}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: {setting}: not a text of hexadecimal keys") from error


def _parse_key(line: str, where: str, min_bytes: int, max_bytes: int) -> bytes:
    wanted = f"{min_bytes}" if min_bytes == max_bytes else f"at least {min_bytes}"
    try:
        key = bytes.fromhex(line)
    except ValueError:
        # `from None`, as the original exception would show part of the key in a traceback.
        raise ConfigError(f"{where} is not {wanted} bytes in hex") from None
    if not min_bytes <= len(key) <= max_bytes:
        raise ConfigError(f"{where} is not {wanted} bytes in hex")
    return key
