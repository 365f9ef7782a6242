"""One director as a process: its log, its start, its exit code."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import select
import sys
from typing import TYPE_CHECKING, TextIO, cast

import structlog
import uvloop

from . import signals
from .config.platform import Config, ConfigError, load
from .director import Director, shapes_of

if TYPE_CHECKING:  # what is off is not imported
    from .config.options import Options
    from .dns.settings import DnsConfig


class Quiet:
    """Guards against a log whose reader has gone or stands still: no line is a reason to stay, or to wait."""

    def __init__(self, fd: int = 2) -> None:
        self.fd, self.lost = fd, 0
        self.room = select.poll()
        self.room.register(fd, select.POLLOUT)

    def write(self, text: str) -> None:
        data = text.encode("utf-8", "backslashreplace")
        try:
            for start in range(0, len(data), select.PIPE_BUF):  # so much never waits where there is room
                if not self.room.poll(0):
                    self.lost += 1
                    return
                os.write(self.fd, data[start : start + select.PIPE_BUF])
        except OSError:
            self.lost += 1

    def flush(self) -> None:
        pass  # nothing is held back


def set_up_logs() -> None:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(serializer=json.dumps),
        ],
        logger_factory=structlog.PrintLoggerFactory(cast(TextIO, Quiet())),
        cache_logger_on_first_use=True,
    )


def read_all(
    options_path: str | None, dns_path: str | None
) -> tuple[Config, Options | None, DnsConfig | None]:
    """All that a director is told, checked; `ConfigError` is the one line that says what is wrong."""
    config = load(os.environ)
    options: Options | None = None
    dns: DnsConfig | None = None
    if options_path:
        from .config.options import load_options

        options = load_options(options_path)
        shapes_of(options)  # certificates and keys are files of their own: a bad one shows at the start
        if options.members is not None:
            from .duties.start import checked

            checked(options)
        if options.leases is not None:
            from .leases.start import checked as check_leases

            check_leases(options, config.name)
        if options.front.http is not None:
            from .web.start import checked as check_front

            check_front(options)
        if options.control is not None:
            from .control.server import check_path

            try:
                check_path(options.file(options.control.socket))
            except ConfigError as error:
                raise ConfigError(f"{options_path}: {error}") from error
        if options.dns is not None:
            from .dns.settings import configured

            dns = configured(options, config.listen[0])
    if dns_path:
        from .dns.settings import load_dns

        dns = load_dns(dns_path, config.listen[0])
    return config, options, dns


async def serve(config: Config, options: Options | None, dns: DnsConfig | None) -> None:
    await Director(config, asyncio.get_running_loop(), dns, options).run()


def run(options_path: str | None = None, dns_path: str | None = None) -> int:
    """Serve until SIGTERM; the process's exit code, 2 for what cannot be used."""
    signals.hold()
    set_up_logs()
    try:
        told = read_all(options_path, dns_path)
    except ConfigError as error:
        print(f"gladewalk: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # what was loaded stays: a collection need not look at it again
    gc.set_threshold(50_000, 20, 100)  # hardly a cycle is made: rare collections, no pauses under load
    try:
        uvloop.run(serve(*told))
    except ConfigError as error:  # the store, which is opened with the director
        print(f"gladewalk: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"gladewalk: cannot listen: {error}", file=sys.stderr)
        return 2
    return 0
