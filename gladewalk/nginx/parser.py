"""Parses a configuration and what it includes to a tree of directives with file and line (crossplane)."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import Any

import crossplane

from .errors import NginxConfigError


@dataclass(slots=True, frozen=True)
class Node:
    """One directive; `block` is None where it ends with `;`."""

    name: str
    args: tuple[str, ...]
    file: str
    line: int
    block: tuple[Node, ...] | None = None

    @property
    def location(self) -> str:
        """Where it is written, `file:line`."""
        return f"{self.file}:{self.line}"

    @property
    def children(self) -> tuple[Node, ...]:
        """The directives of its block, none without one."""
        return self.block or ()

    def __str__(self) -> str:
        return " ".join((self.name, *self.args))


def parse_file(path: str) -> tuple[Node, ...]:
    """Parses a file with all that it includes to one tree.

    Raises:
        NginxConfigError: A file cannot be read or its syntax is wrong; names every fault.
    """
    try:
        parsed = crossplane.parse(path, combine=True, check_ctx=False, check_args=False, strict=False)
        files = [each["file"] for each in crossplane.parse(path, check_ctx=False, check_args=False)["config"]]
    except RecursionError as error:
        raise NginxConfigError(f"{path}:1: file: blocks are nested too deeply") from error
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise NginxConfigError(f"{path}:1: file: {reason}") from error
    faults = [_describe_fault(fault) for fault in parsed["errors"]]
    for file in files:
        faults += _missing_semicolons(file)
    if faults:
        raise NginxConfigError("\n".join(dict.fromkeys(faults)))
    return tuple(
        _build_node(raw) for config in parsed["config"] for raw in config["parsed"] if not _is_comment(raw)
    )


def _is_comment(raw: dict[str, Any]) -> bool:
    return str(raw["directive"]).startswith("#")


def _build_node(raw: dict[str, Any]) -> Node:
    block = raw.get("block")
    nodes = None if block is None else tuple(_build_node(each) for each in block if not _is_comment(each))
    return Node(raw["directive"], tuple(raw["args"]), raw["file"], raw["line"], nodes)


def _describe_fault(fault: dict[str, Any]) -> str:
    """Returns the parser's message with file and line in front of it."""
    line = fault.get("line") or 1
    reason = str(fault["error"]).removesuffix(f" in {fault['file']}:{fault.get('line')}")
    return f"{fault['file']}:{line}: syntax: {reason}"


def _missing_semicolons(path: str) -> list[str]:
    """Returns a fault for each directive that a `}` ends.

    The parser accepts that where it does not know the block around.
    """
    faults: list[str] = []
    first: tuple[str, int] | None = None
    with contextlib.suppress(crossplane.errors.NgxParserSyntaxError, OSError, UnicodeDecodeError):
        for token, line, is_quoted in crossplane.lex(path):
            if is_quoted or token not in (";", "{", "}"):
                first = first or (token, line)
                continue
            if token == "}" and first is not None:
                faults.append(f"{path}:{first[1]}: {first[0]}: not ended by ';'")
            first = None
    return faults
