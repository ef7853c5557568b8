# flake8: noqa
"""A core machine is replaced as planned; then another loses its disk."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import *


async def case(site):
    await site.begin([route('a'), service(), LIMITS])
    record = site.record
    leaving, wiped = site.controls[0], site.controls[1]
    if TROUBLE:
        # The successor starts, with an empty disk and at a new address.
        successor = site.add('control', leaving.zone)
        successor.bootstrap = False
        successor.start()
        await asyncio.sleep(8)
        # It has had its `catch_up` of 4 s: the old machine leaves for good.
        leaving.signal(signal.SIGTERM)
        leaving.process.wait(6)
        record.write('removed for good', machine=leaving.name)
        await asyncio.sleep(1)
        # One machine of the core loses its disk and restarts at its address.
        wiped.kill()
        wiped.lose_disk()
        await asyncio.sleep(0.7)
        wiped.start()
    else:
        await asyncio.sleep(10)
    # `recovery` is 15 s; `catch_up` is 4 s.
    await asyncio.sleep(20)
    patch = {
        'version': '00000003',
        'base_version': '00000001',
        'upsert': {'resources': [route('b')]},
        'remove': {'routes': []},
    }
    status, _ = await site.order('config.patch', patch, 15)
    changed = status == 200
    status, content = await site.order('config.get', None, 15)
    read = status == 200 and json.loads(content)['version']
    record.write('result', change_acknowledged=changed, version_read=read)
    if read and changed and read == '00000003':
        return HELD
    if read and not changed and read in {'00000001', '00000003'}:
        return HELD
    return BROKEN


if __name__ == '__main__':
    main(case, Path(__file__).resolve().parent)
