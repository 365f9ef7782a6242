"""How long a failed server rests, which silence counts as one, how a source's share moves. Times are ms."""

from __future__ import annotations

BACKOFF_MS = 400.0  # first rest of a server that failed (ms), doubled with each further failure (ours)
BACKOFF_MOST_MS = 4_000.0  # longest rest (ms): a server that comes back is found again in this (ours)
SILENCE_MS = 700.0  # nothing heard for this with work out (ms): treated as silent (ours)
SILENCE_GAPS = 8.0  # or for this many of the usual gaps between answers, where that is longer (ours)
GAP_START_MS = 300.0  # gap between answers that is taken as usual before any was seen (ms, ours)
SHARE_START = 2.0  # concurrent fills a source gets at first; the design page
SHARE_FLOOR = 1.0  # one trial is always allowed; the design page
SHARE_MOST = 64.0  # fills; keeps a share from growing past what a halving can undo (ours)


def rest_ms(fails: int) -> float:
    """The rest after that many failures in a row, one at least."""
    return min(BACKOFF_MOST_MS, BACKOFF_MS * 2.0 ** min(fails - 1, 8))


def silence_ms(gap_ms: float, out: int) -> float:
    """From when on nothing heard is a silence; one attempt alone may just be slow."""
    return max(SILENCE_MS, SILENCE_GAPS * gap_ms) * (1.0 if out > 1 else 2.0)


def halved(share: float) -> float:
    """A source's share after a refused, failed or timed-out fill."""
    return max(SHARE_FLOOR, share / 2.0)


def grown(share: float) -> float:
    """And after a fill in time, with at least half of the share in use."""
    return min(SHARE_MOST, share + 1.0)
