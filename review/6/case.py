# flake8: noqa
"""A server that has deregistered gets requests again after its node restarts."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.site_2 import (
    BROKEN,
    HELD,
    LIMITS,
    TROUBLE,
    ZONES,
    call,
    document,
    main,
    route,
    service,
)

DRAIN_TIMEOUT_S = 2
CONTACT_S = 3
# The heartbeat that was sent before the deregistration arrives so much later.
LATE_S = 4.5
WATCHED_S = 6


async def case(site, record) -> int:
    for zone in ZONES:
        site.add(zone, 'control')
    for zone in ZONES:
        site.add(zone, 'node', 'records')
    await site.start()
    await site.order(
        site.controls,
        'config.put',
        document(
            1,
            0,
            route('look-up', 'idempotent', 'records'),
            route('booking', 'non_idempotent', 'records'),
            service('records'),
            LIMITS,
        ),
    )
    await site.wait_until_ready()
    leaving = site.targets[2]
    for machine in site.nodes * 6:
        await call(site, machine, '/look-up/x')
    record(f'{leaving.identity} has run {len(leaving.ran)} requests')
    # The last heartbeat is under way when the upstream deregisters.
    leaving.beats = False
    late = leaving.heartbeat_body()
    record(f'{leaving.identity} sends heartbeat {late["status"]["sequence"]}')
    status = await leaving.post('instances.deregister', {'born': late['born']})
    acknowledged = record(f'{leaving.identity}: deregistration gets {status}')
    if status != 200:
        raise RuntimeError(status)
    await asyncio.sleep(0.2)
    if TROUBLE:
        record(f'SIGKILL of the node at {leaving.machine.ip}')
        leaving.machine.kill()
        await asyncio.sleep(0.3)
        leaving.machine.start()
        await site.wait_until_node_ready(leaving.machine)
        record('the node is ready again')
    await asyncio.sleep(acknowledged + LATE_S - record.now)
    status = await leaving.post('instances.heartbeat', late)
    record(f'the late heartbeat of {leaving.identity} gets {status}')
    ends_at = record.now + WATCHED_S
    senders = site.nodes[:2]
    while record.now < ends_at:
        await asyncio.gather(
            *(
                call(site, machine, path, method)
                for machine in senders
                for path, method in (
                    ('/look-up/x', 'GET'),
                    ('/booking/x', 'POST'),
                )
            )
        )
        await asyncio.sleep(0.1)
    # Both nodes have been in touch all the while, the killed one is again.
    late_runs = [ran for ran in leaving.ran if ran[0] > acknowledged + LATE_S]
    record(
        f'{len(late_runs)} requests ran at {leaving.identity} later than'
        f' {LATE_S} s after its deregistration was acknowledged'
    )
    return BROKEN if late_runs else HELD


main(case, Path(__file__).parent)
