"""What an operator does with a store that nobody has open: look, dump, compact, repair."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from .file_system import Folder
from .record_format import Fault
from .recovery import NAME, Recovered, read_only_head, recover, salvage
from .segmented_log import Log

Say = Callable[[str], None]
GOOD, FOUND, UNUSABLE = 0, 1, 2


def now_ms() -> float:
    return time.time() * 1000.0


def read_files(folder: Folder) -> dict[str, bytes]:
    return {name: folder.read(name) for name in folder.names() if (folder.path / name).is_file()}


def check(path: Path, say: Say) -> int:
    """Every file in words; 1 if a write was cut, 2 if something that was acknowledged can't be read."""
    folder = Folder(path)
    try:
        files = read_files(folder)
        for name in sorted(files):
            try:
                words = read_only_head(files[name], name) if NAME.match(name) else "not a segment: left over"
            except Fault as fault:
                words = fault.why
            say(f"{name}: {len(files[name])} bytes, {words}")
        found = recover(files)
    except Fault as fault:
        say(f"damaged: {fault}")
        return UNUSABLE
    finally:
        folder.close()
    for name, offset, size in found.dropped:
        say(f"{name}: at byte {offset}: {size} bytes of a write that was cut, never acknowledged")
    say(f"{summary(found)}; up to sequence {found.state.sequence}")
    return FOUND if found.dropped else GOOD


def summary(found: Recovered) -> str:
    held = [each for each in found.state.held.values() if not each.deleted]
    return f"{len(held)} keys in {len(found.sizes)} segments of {sum(found.sizes.values())} bytes"


def dump(path: Path) -> Iterator[str]:
    """Each key as one JSON object; values that are no text in hexadecimal. `Fault` for a damaged store."""
    folder = Folder(path)
    try:
        found = recover(read_files(folder))
    finally:
        folder.close()
    for (space, key), held in sorted(found.state.held.items()):
        if held.deleted:
            continue
        row: dict[str, object] = {"space": space, "key": key, "sequence": held.sequence}
        if held.item.until_ms:
            row["until_ms"] = held.item.until_ms
        try:
            row["value"] = held.item.value.decode("utf-8")
        except UnicodeDecodeError:
            row["hex"] = held.item.value.hex()
        yield json.dumps(row)


def compact(path: Path, say: Say) -> int:
    """All segments into one."""
    folder = Folder(path)
    try:
        log = Log(folder, now_ms)
        before = log.size
        if log.sizes:
            log.state.drop_over(now_ms())
            log.compact(max(log.sizes))
        say(f"{before} bytes before, {log.size} now")
    except Fault as fault:
        say(f"damaged: {fault}")
        return UNUSABLE
    finally:
        folder.close()
    return GOOD


def repair(path: Path, accept_loss: bool, say: Say) -> int:
    """Tell what a damaged store still holds; with `accept_loss` make a store of it beside the old files."""
    folder = Folder(path)
    try:
        files = read_files(folder)
        try:
            recover(files)
        except Fault as fault:
            say(f"damaged: {fault}")
        else:
            say("nothing to repair")
            return GOOD
        found = salvage(files)
        for loss in found.losses:
            say(loss)
        kept = sum(not held.deleted for held in found.state.held.values())
        say(f"{found.records} whole records, {kept} keys; a key whose last record is lost has an older value")
        if not accept_loss:
            say("nothing was changed; --accept-loss makes a store of what is left")
            return FOUND
        beside = next(p for n in range(1_000) if not (p := path / f"damaged-{n}").exists())
        beside.mkdir()
        for name in files:
            (path / name).rename(beside / name)
        folder.sync_names()
        log = Log(folder, now_ms)
        for held in sorted(found.state.held.values(), key=lambda held: held.sequence):
            if not held.deleted:
                log.put(held.item.space, held.item.key, held.item.value, held.item.until_ms)
                log.commit()
        say(f"a store of {kept} keys; the old files are in {beside}")
        return FOUND
    finally:
        folder.close()
