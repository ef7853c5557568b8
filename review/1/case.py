# flake8: noqa
"""A machine of the core is replaced; long after, another one loses its disk."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import *

# How long the core has run undisturbed.
CALM_S = 30
SUCCESSOR_S = 1
# `catch_up` is 4 s.
BETWEEN_S = 15
DOWN_S = 0.7
RECOVERY_S = 15


def find_leader(site):
    """Return the control host that has led since the start, by its log."""
    for machine in site.controls:
        if 'was elected leader' in (machine.folder / 'log').read_text():
            return machine
    raise CannotRunError('no leader')


async def case(site):
    await site.begin([route('r-0000'), service(), LIMITS])
    record = site.record
    await asyncio.sleep(CALM_S)
    leader = find_leader(site)
    replaced, wiped = [found for found in site.controls if found is not leader]
    if TROUBLE:
        replaced.kill()
        record.write('removed for good', machine=replaced.name)
        await asyncio.sleep(SUCCESSOR_S)
        successor = site.add('control', replaced.zone)
        successor.bootstrap = False
        site.seeds = [leader, wiped, successor]
        successor.start()
    await asyncio.sleep(BETWEEN_S)
    body = document(2, 1, 3)
    status, _ = await site.order('config.put', body, 10)
    newest = 2 if status == 200 else 1
    if TROUBLE:
        wiped.kill()
        wiped.lose_disk()
        await asyncio.sleep(DOWN_S)
        wiped.start()
    await asyncio.sleep(RECOVERY_S)
    read = await read_version(site, 15)
    record.write('result', newest_acknowledged=newest, read_back=read)
    return BROKEN if read is None or read < newest else HELD


if __name__ == '__main__':
    main(case, Path(__file__).resolve().parent)
