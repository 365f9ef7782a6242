"""A director with `[store]` is killed and started again while a cache begins to drain."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import HOST, TROUBLE, Cache, Coordinator, Stage, client_request, director_config, exchange, main, settings

GRACE_S = 0.25 + 0.05  # drain_grace_ms, and 50 ms on sockets
READS = 60


async def case(stage: Stage) -> list[str]:
    first, second = await Cache(stage, "c1").start(), await Cache(stage, "c2").start()
    origin = await Cache(stage, "o1", model="origin", zone="north").start()
    options = stage.write("options.toml", '[store]\nfolder = "store"\n')

    # The first run: c2 joins, as a change of the list.
    before = await Coordinator(stage).start()
    before.publish_list(first.target(), origin.target(), whole=True)
    config = director_config(before)
    director = stage.start_director(config, arguments=f"--config {options}")
    await stage.until_ready(config)
    before.publish_list(second.target())
    await asyncio.sleep(1.5)
    for key in range(READS):
        await exchange(config["listen"], client_request("lot-page", key), 5.0)
    if not second.received:
        return ["c2 was not used in the first run"] if not TROUBLE else []
    director.kill()
    director.wait()
    stage.note("SIGKILL")
    before.stop()

    # While the director is down c2 begins to drain. Events are counted from 1 at the next start, whose
    # configuration has the whole list as its first event.
    after = await Coordinator(stage).start()
    state = "DRAINING" if TROUBLE else "SERVING"
    after.publish_list(first.target(), second.target(state), origin.target(), whole=True)
    config = director_config(after, listen=config["listen"], seed="2f")
    told_s = time.monotonic()
    stage.start_director(config, arguments=f"--config {options}")
    await stage.until_ready(config)
    await asyncio.sleep(1.0)
    for key in range(READS):
        status, _, _, how = await exchange(config["listen"], client_request("lot-page", key), 5.0)
        stage.note(f"read {key}: {status} {how}")
    late = [line for at_s, line in second.received if at_s > told_s + GRACE_S]
    stage.note(f"c2 got {len(late)} requests after the start, in state {state}")
    return [f"c2, told as draining at the start, got {len(late)} requests later than 300 ms after"] * bool(TROUBLE and late)


main(case, __file__)
