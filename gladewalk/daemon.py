"""One director as a process: its log, its configuration, its exit code."""

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
from .optional_parts import build_protocols, load_dns_settings

if TYPE_CHECKING:  # what is off is not imported
    from .config.options import Options
    from .dns.settings import DnsConfig


class NonBlockingLog:
    """Writes log lines to a descriptor without ever blocking or raising.

    A line that finds no room, or whose reader has gone, is counted in `dropped_lines`: a log is no reason to
    stop serving.
    """

    def __init__(self, fd: int = 2) -> None:
        self.fd, self.dropped_lines = fd, 0
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def write(self, text: str) -> None:
        """Writes a line, whole or (from the first piece that finds no room) not."""
        data = text.encode("utf-8", "backslashreplace")
        try:
            for start in range(0, len(data), select.PIPE_BUF):  # a write of this size never blocks if ready
                if not self._poll.poll(0):
                    self.dropped_lines += 1
                    return
                os.write(self.fd, data[start : start + select.PIPE_BUF])
        except OSError:
            self.dropped_lines += 1

    def flush(self) -> None:
        """Does nothing: no line is buffered."""


def configure_logging() -> None:
    """Sets structlog up: one JSON object a line on standard error."""
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
    """All that a director is configured by; `options` and `dns` are None where they are off."""

    config: PlatformConfig
    options: Options | None = None
    dns: DnsConfig | None = None


def load_configuration(options_path: str | None, dns_path: str | None) -> LoadedConfiguration:
    """Reads and checks all files; raises `ConfigError` with one line that says what is wrong."""
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
    """Checks each part that is on, so that a bad file is found before anything starts."""
    build_protocols(options)  # certificates and keys are files of their own
    if options.members is not None:
        from .duties.start import read_member_settings

        read_member_settings(options)
    if options.leases is not None:
        from .leases.start import read_lease_settings

        read_lease_settings(options, config.name)
    if options.front.http is not None:
        from .web.start import load_routing

        load_routing(options)
    if options.control is not None:
        from .control.server import check_socket_path

        try:
            check_socket_path(options.resolve_path(options.control.socket))
        except ConfigError as error:
            raise ConfigError(f"{options.path}: {error}") from error


async def serve(loaded: LoadedConfiguration) -> None:
    """Runs a director until it is told to stop."""
    await Director(loaded.config, asyncio.get_running_loop(), loaded.dns, loaded.options).run()


def run(options_path: str | None = None, dns_path: str | None = None) -> int:
    """Serves until SIGTERM; returns the process's exit code, 2 for a configuration that cannot be used."""
    signals.block()
    configure_logging()
    try:
        loaded = load_configuration(options_path, dns_path)
    except ConfigError as error:
        print(f"gladewalk: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # what was loaded stays: a collection need not look at it again
    gc.set_threshold(50_000, 20, 100)  # hardly a cycle is made: rare collections, no pauses under load
    try:
        uvloop.run(serve(loaded))
    except ConfigError as error:  # from the store, which is opened with the director
        print(f"gladewalk: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"gladewalk: cannot listen: {error}", file=sys.stderr)
        return 2
    return 0
