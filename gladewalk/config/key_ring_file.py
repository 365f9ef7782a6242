"""Files of keys, one a line in hexadecimal: for their owner's eyes alone, and never in a log."""

from __future__ import annotations

import os
import stat
from pathlib import Path

from .platform import ConfigError


def load_hex_keys(path: Path, setting: str, least: int, most: int = 4_096) -> list[bytes]:
    """The keys in their order, each of `least` to `most` bytes; `ConfigError` never tells a key.

    Guards against a file that others can read: such a key is known to more than its owners.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY)
        with os.fdopen(descriptor, encoding="ascii") as file:
            if stat.S_IMODE(os.fstat(file.fileno()).st_mode) & 0o077:
                raise ConfigError(f"{path}: {setting}: others than its owner may read it (chmod 600)")
            lines = [line.strip() for line in file if line.strip() and not line.startswith("#")]
    except OSError as error:
        raise ConfigError(f"{path}: {setting}: {error.strerror or error}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: {setting}: not a text of hexadecimal keys") from error
    keys = []
    for number, line in enumerate(lines, 1):
        try:
            secret = bytes.fromhex(line)
        except ValueError:
            secret = b""
        if not least <= len(secret) <= most:
            wanted = f"{least}" if least == most else f"at least {least}"
            raise ConfigError(f"{path}: {setting}: key {number} is not {wanted} bytes in hex")
        keys.append(secret)
    if not keys or len(set(keys)) < len(keys):
        raise ConfigError(f"{path}: {setting}: {'no key' if not keys else 'a key stands there twice'}")
    return keys
