"""The real director: `python -m gladewalk`, configured by `NODE_CONFIG`, `NODE_LISTEN` and `NODE_NAME`.

`--dns FILE` turns the DNS front on, where the file says that it listens.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gc
import json
import os
import sys
from typing import TextIO, cast

import structlog
import uvloop

from .config import Config, ConfigError, load
from .director import Director
from .dns.names import DnsConfig, load_dns


class Quiet:
    """Guards against a log whose reader has gone: a line that cannot be written is no reason to stay."""

    def write(self, text: str) -> None:
        with contextlib.suppress(OSError, ValueError):
            sys.stderr.write(text)

    def flush(self) -> None:
        with contextlib.suppress(OSError, ValueError):
            sys.stderr.flush()


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


async def serve(config: Config, dns: DnsConfig | None) -> None:
    await Director(config, asyncio.get_running_loop(), dns).run()


def main() -> int:
    set_up_logs()
    parser = argparse.ArgumentParser(prog="gladewalk", description="A director in front of caches.")
    parser.add_argument("--dns", metavar="FILE", help="turn the DNS front on as this file says")
    arguments = parser.parse_args()
    try:
        config = load(os.environ)
        dns = load_dns(arguments.dns, config.listen[0]) if arguments.dns else None
    except ConfigError as error:
        print(f"gladewalk: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # what was loaded stays: a collection need not look at it again
    gc.set_threshold(50_000, 20, 100)  # hardly a cycle is made: rare collections, no pauses under load
    try:
        uvloop.run(serve(config, dns))
    except OSError as error:
        print(f"gladewalk: cannot listen: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
