# flake8: noqa
"""All processes are killed after many changes of a large configuration."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import *

ROUTES = 1416
CHANGES = 100
DOWN_S = 0.9
RECOVERY_S = 15


async def case(site):
    await site.begin([route('r-0000'), service(), LIMITS])
    record = site.record
    platform = Platform(site)
    newest = await send_configurations(site, CHANGES, ROUTES)
    await asyncio.sleep(5)
    before = await served_share(site)
    record.write('before', served=before, peaks_mb=platform.peaks_mb)
    # The final fault strikes right after a configuration was acknowledged.
    await site.order(
        'config.put', document(newest + 1, newest, ROUTES), 4 + 0.003 * ROUTES
    )
    newest += 1
    if TROUBLE:
        for machine in site.machines:
            machine.kill()
        await asyncio.sleep(DOWN_S)
        for machine in site.machines:
            if not machine.running:
                machine.start()
    await asyncio.sleep(RECOVERY_S)
    after = await served_share(site)
    read = await read_version(site, 10)
    platform.stop()
    record.write(
        'result',
        served_before=before,
        served_after_recovery=after,
        newest_acknowledged=newest,
        read_back=read,
        peaks_mb=platform.peaks_mb,
        kills_over_memory=platform.kills,
    )
    if before < 0.25:
        return NOT_RUN
    return BROKEN if after < 0.25 or read != newest else HELD


async def served_share(site):
    """Send requests at all nodes for some seconds; return the share served."""
    tasks = []
    for _ in range(40):
        tasks += [
            asyncio.create_task(site.request(machine, '/r-0000/x'))
            for machine in site.nodes
        ]
        await asyncio.sleep(0.15)
    outcomes = await asyncio.gather(*tasks)
    return sum(found.get('sealed', False) for found in outcomes) / len(outcomes)


if __name__ == '__main__':
    main(case, Path(__file__).resolve().parent)
