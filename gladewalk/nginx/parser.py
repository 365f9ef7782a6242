"""Parses a configuration and its includes to a tree of directives with file and line, using crossplane."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import Any

import crossplane

from .errors import NginxConfigError


@dataclass(slots=True, frozen=True)
class Node:
    """One directive; `block` has the directives between its braces, and is None if it ends with `;`."""

    name: str
    args: tuple[str, ...]
    file: str
    line: int
    block: tuple[Node, ...] | None = None

    @property
    def location(self) -> str:
        """The place of the directive, `file:line`."""
        return f"{self.file}:{self.line}"

    @property
    def children(self) -> tuple[Node, ...]:
        """The directives of the block; empty without a block."""
        return self.block or ()

    def __str__(self) -> str:
        return " ".join((self.name, *self.args))


def parse_file(path: str) -> tuple[Node, ...]:
    """Parses a file and all files that it includes to one tree.

    Raises:
        NginxConfigError: A file cannot be read or has a syntax error; the text lists every error.
    """
    try:
        parsed = crossplane.parse(path, combine=True, check_ctx=False, check_args=False, strict=False)
        files = [each["file"] for each in crossplane.parse(path, check_ctx=False, check_args=False)["config"]]
    except RecursionError as error:
        raise NginxConfigError(f"{path}:1: file: blocks are nested too deeply") from error
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise NginxConfigError(f"{path}:1: file: {reason}") from error
    problems = [_describe_error(parser_error) for parser_error in parsed["errors"]]
    for file in files:
        problems += _missing_semicolons(file)
    if problems:
        raise NginxConfigError("\n".join(dict.fromkeys(problems)))
    return tuple(
        _build_node(raw) for config in parsed["config"] for raw in config["parsed"] if not _is_comment(raw)
    )


def _is_comment(raw: dict[str, Any]) -> bool:
    return str(raw["directive"]).startswith("#")


def _build_node(raw: dict[str, Any]) -> Node:
    block = raw.get("block")
    nodes = None if block is None else tuple(_build_node(each) for each in block if not _is_comment(each))
    return Node(raw["directive"], tuple(raw["args"]), raw["file"], raw["line"], nodes)


def _describe_error(parser_error: dict[str, Any]) -> str:
    """Returns an error of the parser as `file:line: syntax: message`."""
    line = parser_error.get("line") or 1
    reason = str(parser_error["error"]).removesuffix(f" in {parser_error['file']}:{parser_error.get('line')}")
    return f"{parser_error['file']}:{line}: syntax: {reason}"


def _missing_semicolons(path: str) -> list[str]:
    """Returns an error for each directive that is ended by `}` instead of `;`.

    The parser does not report these within a block that it does not know.
    """
    problems: list[str] = []
    first: tuple[str, int] | None = None
    with contextlib.suppress(crossplane.errors.NgxParserSyntaxError, OSError, UnicodeDecodeError):
        for token, line, is_quoted in crossplane.lex(path):
            if is_quoted or token not in (";", "{", "}"):
                first = first or (token, line)
                continue
            if token == "}" and first is not None:
                problems.append(f"{path}:{first[1]}: {first[0]}: not ended by ';'")
            first = None
    return problems
