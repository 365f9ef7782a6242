"""Runs one director as a process: sets up its log, loads its configuration and returns its exit code."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import select
import sys
from typing import TYPE_CHECKING, NamedTuple, TextIO, cast

import structlog
import uvloop

from . import signals
from .config.platform import ConfigError, PlatformConfig, load_config
from .director import Director
from .optional_parts import build_connection_factory, load_dns_settings

if TYPE_CHECKING:  # at run time, parts that are not configured are not imported
    from .config.options import Options
    from .dns.settings import DnsConfig


class NonBlockingLog:
    """Writes log lines to a descriptor without ever blocking or raising.

    A line is counted in `dropped_lines` if the pipe is full or its reader has closed it: a director keeps
    serving when its log cannot be written.
    """

    def __init__(self, fd: int = 2) -> None:
        self.fd, self.dropped_lines = fd, 0
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def write(self, text: str) -> None:
        """Writes a line in pieces; drops the rest of the line at the first piece that would block."""
        data = text.encode("utf-8", "backslashreplace")
        try:
            # A pipe that polls as ready takes PIPE_BUF bytes without blocking.
            for start in range(0, len(data), select.PIPE_BUF):
                if not self._poll.poll(0):
                    self.dropped_lines += 1
                    return
                os.write(self.fd, data[start : start + select.PIPE_BUF])
        except OSError:
            self.dropped_lines += 1

    def flush(self) -> None:
        """Does nothing, as no line is buffered."""


def configure_logging() -> None:
    """Configures structlog to write one JSON object per line to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(serializer=json.dumps),
        ],
        logger_factory=structlog.PrintLoggerFactory(cast(TextIO, NonBlockingLog())),
        cache_logger_on_first_use=True,
    )


class LoadedConfiguration(NamedTuple):
    """The complete configuration of a director; `options` and `dns` are None if they are not configured."""

    config: PlatformConfig
    options: Options | None = None
    dns: DnsConfig | None = None


def load_configuration(options_path: str | None, dns_path: str | None) -> LoadedConfiguration:
    """Reads and checks all configuration files.

    Raises:
        ConfigError: A file cannot be used; the text is one line that says why.
    """
    config = load_config(os.environ)
    options: Options | None = None
    dns: DnsConfig | None = None
    if options_path:
        from .config.options import load_options

        options = load_options(options_path)
        _check_options(options, config)
        if options.dns is not None:
            dns = load_dns_settings(options, config.listen[0])
    if dns_path:
        from .dns.settings import load_dns

        dns = load_dns(dns_path, config.listen[0])
    return LoadedConfiguration(config, options, dns)


def _check_options(options: Options, config: PlatformConfig) -> None:
    """Checks the options of each configured part, so that errors are found before anything starts.

    This includes the files that the options name, such as certificates and keys; raises `ConfigError`.
    """
    build_connection_factory(options)  # reads the certificate and key files
    if options.members is not None:
        from .duties.start import read_member_settings

        read_member_settings(options)
    if options.leases is not None:
        from .leases.start import read_lease_settings

        read_lease_settings(options, config.name)
    if options.front.http is not None:
        from .web.start import prepare_site

        prepare_site(options, config.name, config.seed)
    if options.control is not None:
        from .control.server import check_socket_path

        try:
            check_socket_path(options.resolve_path(options.control.socket))
        except ConfigError as error:
            raise ConfigError(f"{options.path}: {error}") from error


async def serve(loaded: LoadedConfiguration) -> None:
    """Runs a director until it receives SIGTERM or SIGINT and has stopped."""
    director = Director(loaded.config, asyncio.get_running_loop(), loaded.dns, loaded.options)
    director.watch_memory()
    await director.run()


def run(options_path: str | None = None, dns_path: str | None = None) -> int:
    """Serves until SIGTERM.

    Returns:
        The process's exit code: 0, or 2 if the configuration cannot be used or an address cannot be bound.
    """
    signals.block()
    configure_logging()
    try:
        loaded = load_configuration(options_path, dns_path)
    except ConfigError as error:
        print(f"gladewalk: {error}", file=sys.stderr)
        return 2
    # Excludes the objects loaded so far, which live as long as the process, from garbage collections. Few
    # reference cycles are created afterwards; rare collections avoid pauses under load.
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    try:
        uvloop.run(serve(loaded))
    except ConfigError as error:  # raised by the store, which is opened when the director is built
        print(f"gladewalk: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"gladewalk: cannot listen: {error}", file=sys.stderr)
        return 2
    return 0
