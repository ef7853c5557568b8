# flake8: noqa
"""The operator sends many complete configurations with many routes."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import *

ROUTES = 1416 if TROUBLE else 13
CHANGES = 260
RECOVERY_S = 15


async def case(site):
    await site.begin([route('r-0000'), service(), LIMITS])
    platform = Platform(site)
    newest = await send_configurations(site, CHANGES, ROUTES, 75)
    await asyncio.sleep(RECOVERY_S)
    read = await read_version(site, 10)
    platform.stop()
    ended = [
        machine.name
        for machine in site.controls
        if platform.kills[machine.name] >= 3
    ]
    site.record.write(
        'result',
        newest_acknowledged=newest,
        read_back=read,
        peaks_mb=platform.peaks_mb,
        kills_over_memory=platform.kills,
    )
    lost = read is None or read < newest
    return BROKEN if lost or 2 * len(ended) >= len(site.controls) else HELD


if __name__ == '__main__':
    main(case, Path(__file__).resolve().parent)
