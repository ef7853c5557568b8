# flake8: noqa
"""A control machine freezes while a zone is taken back and evacuated again."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from site_3 import Machine, Site, run_case, configuration

ZONES = ['east', 'west', 'north']
ZONE = ZONES[0]
# Rounds of a freeze, and its length in seconds: a little more than an operator
# waits for a response.
ROUNDS, FREEZE_S = 30, 1.2
# Bounds of the rule, and time for which requests are sent after them.
EVACUATE_S, MAX_STRETCH_S, CONTACT_S, LONGER_S = 5.0, 5.0, 3.0, 3.0


async def send_requests(site: Site, seconds: float) -> None:
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        await asyncio.gather(*(site.request(node) for node in site.nodes))
        await asyncio.sleep(0.05)


def runs_in_zone(site: Site, since: float) -> int:
    """Return how many requests reached the zone's targets after a time."""
    return sum(
        at > since
        for target in site.targets.values()
        if target.machine.zone == ZONE
        for at, *_ in target.runs
    )


async def play_round(site: Site, frozen: Machine, *, trouble: bool) -> float:
    """Take the zone back and evacuate it; return when that was acknowledged."""
    began = time.monotonic()
    if trouble:
        frozen.send(signal.SIGSTOP)
    await site.order(f'evacuate.end&of={ZONE}', first=frozen)
    other = next(found for found in site.controls if found is not frozen)
    answer = await site.order(f'evacuate.start&of={ZONE}', first=other)
    assert answer.status == 200
    acknowledged_at = time.monotonic()
    site.record('the evacuation is acknowledged')
    await asyncio.sleep(max(0, began + FREEZE_S - time.monotonic()))
    if trouble:
        frozen.send(signal.SIGCONT)
    return acknowledged_at


async def play(site: Site, trouble: bool) -> bool:
    for zone in ZONES:
        site.add('control', zone)
    for zone in ZONES:
        site.add('node', zone, 'desk')
    await site.start()
    await site.order('config.put', configuration(1, 0))
    await site.wait_until_ready()
    await asyncio.sleep(2)
    await site.order(f'evacuate.start&of={ZONE}')
    for number in range(ROUNDS):
        frozen = site.controls[number % len(site.controls)]
        acknowledged_at = await play_round(site, frozen, trouble=trouble)
        await asyncio.sleep(0.7)
        looked_at = time.monotonic()
        await send_requests(site, 0.4)
        if runs_in_zone(site, looked_at):
            site.record('a request has reached the evacuated zone')
            break
    # From here on nothing is disturbed, and no order is sent.
    woken_at = time.monotonic()
    bound = max(
        acknowledged_at + EVACUATE_S + MAX_STRETCH_S, woken_at + CONTACT_S
    )
    await send_requests(site, bound + LONGER_S - time.monotonic())
    late = runs_in_zone(site, bound)
    site.record(
        f'{late} requests reached the evacuated zone more than '
        f'{bound - acknowledged_at:.1f} s after the acknowledgement'
    )
    print(f'{late} requests reached the evacuated zone after the bound')
    return late > 0


run_case(__file__, play, ZONES)
