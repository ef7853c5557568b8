# flake8: noqa
"""A program does not start if an address that it does not know is empty."""

from __future__ import annotations

import asyncio
import json
import signal
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

# The platform starts a program that has exited again after a short delay.
START_DELAY_S = 0.5
STARTS = 3


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
            service('records'),
            LIMITS,
        ),
    )
    await site.wait_until_ready()
    for machine in site.nodes * 3:
        await call(site, machine, '/look-up/x')
    stopped = [site.nodes[0], site.controls[2]]
    for machine in stopped:
        if TROUBLE:
            # A new field, of a matter that is not open here.
            machine.more_addresses['support'] = ''
            path = machine.folder / 'local.json'
            path.write_text(json.dumps(machine._settings()))
            record(f'the settings of {machine.ip} have a new, empty field')
        machine.send(signal.SIGHUP)
        record(f'SIGHUP of {machine.role} at {machine.ip}')
        await asyncio.sleep(1)
    failed = []
    for machine in stopped:
        record(f'SIGTERM of {machine.role} at {machine.ip}')
        machine.terminate()
        while not machine.ended:
            await asyncio.sleep(0.02)
        exits = []
        for _ in range(STARTS):
            await asyncio.sleep(START_DELAY_S)
            machine.start()
            await asyncio.sleep(3)
            record(
                f'{machine.role} at {machine.ip} started; exit code 3 s later:'
                f' {machine.exit_code}'
            )
            exits.append(machine.exit_code)
            if machine.exit_code is None:
                break
            record(machine.log.read_text().splitlines()[-1][:200])
        if exits[-1] is not None:
            failed.append(machine)
        else:
            await asyncio.sleep(4)
    for machine in site.nodes:
        await call(site, machine, '/look-up/x')
    record(f'{len(failed)} of {len(stopped)} programs did not start again')
    return BROKEN if failed else HELD


main(case, Path(__file__).parent)
