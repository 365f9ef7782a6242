"""SIGTERM while an upstream's server hangs: whether a request to `[front.http]` gets its final answer."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import HOST, TROUBLE, Cache, Coordinator, Stage, director_config, exchange, free_port, import_site, main

SITE = """
events {{}}
http {{
    upstream lots {{ server {server}; }}
    server {{ listen 80; location / {{ proxy_pass http://lots; proxy_read_timeout 30s; }} }}
}}
"""
SIGKILL_S = 3.7  # the longest deadline, counted as 3 s, and 0.7 s
REQUESTS = 5


async def case(stage: Stage) -> list[str]:
    box = await Cache(stage, "web1").start()
    cache = await Cache(stage, "c1").start()
    coordinator = await Coordinator(stage).start()
    coordinator.publish_list(cache.target(), whole=True)
    config = director_config(coordinator)
    front = f"{HOST}:{free_port()}"
    site = import_site(stage, SITE.format(server=box.address))
    options = stage.write("options.toml", f'[front.http]\nsite = "{site}"\nlisten = {{ "{front}" = "*:80" }}\n')
    director = stage.start_director(config, arguments=f"--config {options}")
    await stage.until_ready(config)
    request = "POST /orders/{} HTTP/1.1\r\nHost: auction.example\r\nContent-Length: 7\r\n\r\nlot=471"
    status, _, _, how = await exchange(front, request.format("first"), 10.0)
    stage.note(f"before: {status} {how}")
    box.hangs = TROUBLE
    asked = [asyncio.create_task(exchange(front, request.format(number), 20.0)) for number in range(REQUESTS)]
    await asyncio.sleep(0.2)
    director.send_signal(signal.SIGTERM)
    stage.note("SIGTERM")
    end_s = asyncio.get_running_loop().time() + SIGKILL_S + 0.8
    while director.poll() is None and asyncio.get_running_loop().time() < end_s:
        await asyncio.sleep(0.02)
    if director.poll() is None:
        director.kill()
        stage.note("SIGKILL, 4.5 s after SIGTERM")
    else:
        stage.note(f"the director has ended with {director.returncode}")
    broken = []
    for number, (status, _, _, how) in enumerate(await asyncio.gather(*asked)):
        stage.note(f"request {number}: {status} {how}")
        if not status:
            broken.append(f"request {number}, sent 0.2 s before SIGTERM, has no final answer: {how}")
    return broken


main(case, __file__)
