# flake8: noqa
"""A machine of the core loses its disk and, long after, another one does."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import *

ROUTES = 1416
CHANGES = 100
DOWN_S = 0.7
# `catch_up` is 4 s.
BETWEEN_S = 20
RECOVERY_S = 15


async def lose_disk(machine):
    machine.kill()
    machine.lose_disk()
    await asyncio.sleep(DOWN_S)
    if not machine.running:
        machine.start()


async def case(site):
    await site.begin([route('r-0000'), service(), LIMITS])
    platform = Platform(site)
    newest = await send_configurations(site, CHANGES, ROUTES)
    await asyncio.sleep(3)
    if TROUBLE:
        await lose_disk(site.controls[0])
    await asyncio.sleep(BETWEEN_S)
    between = await read_version(site, 5)
    site.record.write('between', read=between, kills=platform.kills)
    if TROUBLE:
        await lose_disk(site.controls[1])
    await asyncio.sleep(RECOVERY_S)
    read = await read_version(site, 15)
    platform.stop()
    site.record.write(
        'result',
        newest_acknowledged=newest,
        read_between=between,
        read_back=read,
        peaks_mb=platform.peaks_mb,
        kills_over_memory=platform.kills,
    )
    return BROKEN if read is None or read < newest else HELD


if __name__ == '__main__':
    main(case, Path(__file__).resolve().parent)
