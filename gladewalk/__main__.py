"""The real director: `python -m gladewalk`, configured by `NODE_CONFIG`, `NODE_LISTEN` and `NODE_NAME`."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import sys

import structlog
import uvloop

from .config import Config, ConfigError, load
from .director import Director


def set_up_logs() -> None:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(serializer=json.dumps),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


async def serve(config: Config) -> None:
    await Director(config, asyncio.get_running_loop()).run()


def main() -> int:
    set_up_logs()
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"gladewalk: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # what was loaded stays: a collection need not look at it again
    gc.set_threshold(50_000, 20, 100)  # hardly a cycle is made: rare collections, no pauses under load
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"gladewalk: cannot listen at {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
