# flake8: noqa
"""A node is restarted after its upstream has left; an old heartbeat follows."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import *

DRAIN_TIMEOUT_S = 2.0
CONTACT_S = 3.0
# The upstream goes on serving for so long after its acknowledgement.
SERVES_S = 6.5
WORK_S = 0.6


async def case(site):
    pay = route('pay', 'non_idempotent', max_attempts=1)
    await site.begin([pay, service(), LIMITS], WORK_S)
    record, node, upstream = site.record, site.nodes[0], site.upstreams[0]
    # A heartbeat that will arrive seconds late.
    late = upstream.heartbeat()
    upstream.stop_beats()
    # This upstream doesn't report `draining`: it deregisters first.
    if (
        await upstream.say('instances.deregister', {'born': upstream.born})
        != 200
    ):
        return NOT_RUN
    upstream.state = 'leaving'
    left_at = record.now()
    started_at = left_at - CONTACT_S
    if TROUBLE:
        node.kill()
        await asyncio.sleep(0.5)
        node.start()
        started_at = record.now()
        if not await site.until(lambda: site.is_ready(node), 8):
            return NOT_RUN
    await asyncio.sleep(max(0, left_at + 2.5 - record.now()))
    await upstream.say('instances.heartbeat', late)
    # From here on, all machines are in touch again.
    await asyncio.sleep(max(0, started_at + CONTACT_S + 0.3 - record.now()))
    asked_at = record.now()
    tasks = []
    exiting = False
    while record.now() < left_at + SERVES_S + 1:
        for machine in site.nodes[1:]:
            tasks.append(
                asyncio.create_task(
                    site.request(machine, '/pay/x', 'POST', body=b'x')
                )
            )
        await asyncio.sleep(0.05)
        if not exiting and record.now() > left_at + SERVES_S:
            exiting = True
            record.write('exits', upstream=upstream.identity)
            await upstream.stop()
    outcomes = await asyncio.gather(*tasks)
    late_runs = [
        found
        for found in outcomes
        if found['attempt'] in upstream.runs
        and found['sent_at'] > left_at + DRAIN_TIMEOUT_S
    ]
    lost = [found for found in late_runs if not found.get('sealed')]
    record.write(
        'result',
        asked_after_leaving=round(asked_at - left_at, 3),
        requests=len(outcomes),
        run_there_after_drain_timeout=len(late_runs),
        without_its_answer=len(lost),
        statuses=sorted(
            {str(found.get('status', found['result'])) for found in lost}
        ),
    )
    return BROKEN if late_runs else HELD


if __name__ == '__main__':
    main(case, Path(__file__).resolve().parent)
