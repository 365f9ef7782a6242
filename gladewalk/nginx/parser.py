"""A configuration's text as a tree, each node with its file and line; includes are followed (crossplane)."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import crossplane


class NginxError(Exception):
    """Errors in the files, one `file:line: directive: why` a line."""


@dataclass(slots=True, frozen=True)
class Node:
    """One directive; `block` is None where it ends with `;`."""

    name: str
    args: tuple[str, ...]
    file: str
    line: int
    block: tuple[Node, ...] | None = None

    @property
    def where(self) -> str:
        return f"{self.file}:{self.line}"

    def named(self, *names: str) -> Iterator[Node]:
        return (node for node in self.block or () if node.name in names)

    def __str__(self) -> str:
        return " ".join((self.name, *self.args))


def read_tree(path: str) -> tuple[Node, ...]:
    """The file with all that it includes, as one tree; `NginxError` names every fault of its text."""
    try:
        parsed = crossplane.parse(path, combine=True, check_ctx=False, check_args=False, strict=False)
        files = [each["file"] for each in crossplane.parse(path, check_ctx=False, check_args=False)["config"]]
    except RecursionError as error:
        raise NginxError(f"{path}:1: file: blocks are nested too deeply") from error
    except (OSError, UnicodeDecodeError) as error:
        why = getattr(error, "strerror", None) or str(error)
        raise NginxError(f"{path}:1: file: {why}") from error
    faults = [fault_of(problem) for problem in parsed["errors"]]
    for file in files:
        faults += lost_ends(file)
    if faults:
        raise NginxError("\n".join(dict.fromkeys(faults)))
    return tuple(node_of(each) for config in parsed["config"] for each in config["parsed"] if kept(each))


def kept(raw: dict[str, Any]) -> bool:
    return not str(raw["directive"]).startswith("#")


def node_of(raw: dict[str, Any]) -> Node:
    block = raw.get("block")
    inner = None if block is None else tuple(node_of(each) for each in block if kept(each))
    return Node(raw["directive"], tuple(raw["args"]), raw["file"], raw["line"], inner)


def fault_of(problem: dict[str, Any]) -> str:
    """The parser's words with the place in front of them."""
    line = problem.get("line") or 1
    why = str(problem["error"]).removesuffix(f" in {problem['file']}:{problem.get('line')}")
    return f"{problem['file']}:{line}: syntax: {why}"


def lost_ends(path: str) -> list[str]:
    """Guards against a lost `;`: the parser takes `}` for one where it doesn't know the block around."""
    found: list[str] = []
    first: tuple[str, int] | None = None
    with contextlib.suppress(crossplane.errors.NgxParserSyntaxError, OSError, UnicodeDecodeError):
        for token, line, quoted in crossplane.lex(path):
            if quoted or token not in (";", "{", "}"):
                first = first or (token, line)
                continue
            if token == "}" and first is not None:
                found.append(f"{path}:{first[1]}: {first[0]}: not ended by ';'")
            first = None
    return found
