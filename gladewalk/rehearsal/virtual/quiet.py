"""Silence for what directors log while a scenario is played: the verdict is what there is to be read."""

from __future__ import annotations

import logging

import structlog


def quiet() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
