"""Shared by all commands: options, exit codes, and queries of a running director."""

from __future__ import annotations

import functools
import inspect
import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click

from ..config.platform import ConfigError
from ..control.queries import Query

FILE = click.Path(dir_okay=False)
FOLDER = click.Path(exists=True, file_okay=False, path_type=Path)

CommandT = TypeVar("CommandT", bound=Callable[..., Any])
StatusT = TypeVar("StatusT")


class ExitCode(IntEnum):
    """Exit codes of commands; the errors of `control.client` add 3 to 5, for queries without a response."""

    DONE = 0
    FINDING = 1
    UNUSABLE = 2


def config_option(command: CommandT) -> CommandT:
    """Adds the option `--config`, which names the options file."""
    return click.option("--config", "options_path", type=FILE, help="The options file, in TOML.")(command)


def examples(*command_lines: str) -> Callable[[CommandT], CommandT]:
    """Appends example command lines to a command's help; must be the decorator next to the function."""
    title = "Example:" if len(command_lines) == 1 else "Examples:"

    def append(command: CommandT) -> CommandT:
        # \b prevents click from joining the lines of the paragraph.
        paragraph = "\n".join(("\b", title, *(f"  {line}" for line in command_lines)))
        command.__doc__ = f"{inspect.cleandoc(command.__doc__ or '')}\n\n{paragraph}"
        return command

    return append


def decode(data: dict[str, Any], status_type: type[StatusT]) -> StatusT:
    """Converts the data of a response; ends the command if it is from another version of the director."""
    import msgspec

    from ..control.client import VersionMismatchError

    try:
        return msgspec.convert(data, status_type)
    except msgspec.ValidationError as error:
        mismatch = VersionMismatchError(f"the director's answer is of another version: {error}")
        fail(mismatch, mismatch.exit_code)


def fail(error: Exception, exit_code: int = ExitCode.UNUSABLE) -> NoReturn:
    """Prints an error as one line and ends the command with an exit code."""
    click.echo(f"gladewalk: {error}", err=True)
    exit_with(exit_code)


def exit_with(exit_code: int) -> NoReturn:
    """Ends the command with an exit code."""
    click.get_current_context().exit(exit_code)


@dataclass(slots=True, frozen=True)
class DirectorQuery:
    """How a command connects to a running director, and how it shows the response.

    Attributes:
        options_path: The director's options file, which names its control socket.
        socket_path: The control socket, if it is given instead of the options file.
        as_json: Whether the response is printed as one JSON object, not as a table.
    """

    options_path: str | None
    socket_path: str | None
    as_json: bool

    def query(self, query: Query, **arguments: Any) -> dict[str, Any]:
        """Returns the data of a director's response; if there is none, prints an error and exits."""
        from ..control.client import ControlError, query_director

        try:
            data: dict[str, Any] = query_director(self._find_socket(), query, **arguments)
        except ConfigError as error:
            fail(error)
        except ControlError as error:
            fail(error, error.exit_code)
        return data

    def show(self, data: dict[str, Any], print_text: Callable[[dict[str, Any]], None]) -> None:
        """Prints a response's data: unchanged as JSON, or with a function that formats it for people."""
        if self.as_json:
            click.echo(json.dumps(data))
        else:
            print_text(data)

    def _find_socket(self) -> Path:
        from ..config.options import load_options

        if self.socket_path:
            return Path(self.socket_path)
        if not self.options_path:
            raise ConfigError("--config or --socket: one of them says where the director is")
        options = load_options(self.options_path)
        if options.control is None:
            raise ConfigError(f"{self.options_path}: control.socket: is missing")
        return options.resolve_path(options.control.socket)


def queries_director(command: Callable[..., None]) -> Callable[..., None]:
    """Adds `--config`, `--socket` and `--json`, and passes them to the command as a `DirectorQuery`."""

    @functools.wraps(command)
    def invoke(
        *arguments: Any, options_path: str | None, socket_path: str | None, as_json: bool, **options: Any
    ) -> None:
        command(DirectorQuery(options_path, socket_path, as_json), *arguments, **options)

    add_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
    socket_help = "The director's control socket, in place of --config."
    add_socket = click.option("--socket", "socket_path", type=FILE, help=socket_help)
    config_help = "The director's options file, in TOML."
    add_config = click.option("--config", "options_path", type=FILE, help=config_help)
    return add_config(add_socket(add_json(invoke)))
