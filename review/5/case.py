# flake8: noqa
"""The only node of a zone is stopped and started again under load."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import *

# A request is at work for this long at its upstream.
WORK_S = 3.3
DEADLINE_MS = 20_000
GRACE_S = 6.0
# Requests of which the rule says that their end may be lost.
EXCUSED_S = 3.0
SENDING_S = 5.0


class Readiness:
    """Asks the node once a second, as the platform does."""

    def __init__(self, site, node):
        self.site, self.node = site, node
        self.misses = 0

    async def run(self):
        while True:
            ready = await self.site.is_ready(self.node)
            self.misses = 0 if ready else self.misses + 1
            self.site.record.write('ready', machine=self.node.name, ready=ready)
            await asyncio.sleep(1)


async def case(site):
    resources = [
        route('list', 'non_idempotent', timeout='10s'),
        service(),
        LIMITS,
    ]
    await site.begin(resources, WORK_S)
    record, node = site.record, site.nodes[0]
    # After two misses, clients get no new work, but for a zone of which fewer
    # than half of the nodes are in. This node is the only one of its zone.
    readiness = asyncio.create_task(Readiness(site, node).run())
    tasks = []
    stopped_at = record.now()
    if TROUBLE:
        node.signal(signal.SIGTERM)
    while record.now() < stopped_at + SENDING_S:
        tasks.append(
            asyncio.create_task(
                site.request(
                    node, '/list/a', 'POST', deadline_ms=DEADLINE_MS, body=b'x'
                )
            )
        )
        await asyncio.sleep(0.12)
    if TROUBLE:
        await asyncio.sleep(max(0, stopped_at + GRACE_S - record.now()))
        node.kill()
        await asyncio.sleep(0.5)
        node.start()
    outcomes = await asyncio.gather(*tasks)
    readiness.cancel()
    broken = 0
    for found in outcomes:
        runs = sum(u.runs[found['attempt']] for u in site.upstreams)
        after_s = found['sent_at'] - stopped_at
        answered = found['result'] == 'answer' and (found['sealed'] or not runs)
        if answered or found['result'] == 'no connection':
            continue
        counts = runs and after_s > EXCUSED_S
        broken += bool(counts)
        record.write(
            'cut',
            sent_after_sigterm=round(after_s, 3),
            ended_after_sigterm=round(found['ended_at'] - stopped_at, 3),
            runs=runs,
            counts=bool(counts),
            **found,
        )
    record.write('result', requests=len(outcomes), broken=broken)
    return BROKEN if broken else HELD


if __name__ == '__main__':
    main(case, Path(__file__).resolve().parent)
