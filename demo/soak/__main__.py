"""Command line of the soak."""

from __future__ import annotations

import logging
import sys
import tempfile
from pathlib import Path

import click
import uvloop

from demo.scenario import load_scenario
from demo.soak.soak import Soak

SERIES = 'stops,reloads,changes'


@click.command()
@click.argument('scenario', type=click.Path(path_type=Path))
@click.option('--seed', default=1, help='Seed of load and faults.')
@click.option('--seconds', default=0.0, help='Duration of the load.')
@click.option('--rate', default=1.0, help='Share of the rates of the scenario.')
@click.option('--series', default=SERIES, help='Series of faults.')
@click.option('--end', default='', help='Final fault.')
@click.option(
    '--folder',
    type=click.Path(path_type=Path),
    help='Folder for logs and the timeline; a temporary one by default.',
)
@click.option('--hardened', is_flag=True, help='Hosts refuse socket filters.')
@click.option(
    '--link-bytes-per-s', default=0, help="Rate of each host's link; 0: any."
)
@click.option(
    '--program',
    type=click.Path(path_type=Path),
    help='Checkout whose programs run.',
)
def main(
    scenario: Path,
    seed: int,
    seconds: float,
    rate: float,
    series: str,
    end: str,
    folder: Path | None,
    link_bytes_per_s: int,
    program: Path | None,
    *,
    hardened: bool,
) -> None:
    """Run a soak and exit with 0 if all promises were kept."""
    # Targets' answers to connections that are gone are no findings.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    plan = load_scenario(scenario)
    for class_plan in plan.classes:
        class_plan.per_s *= rate
    with tempfile.TemporaryDirectory() as temporary:
        used = (folder or Path(temporary)).resolve()
        used.mkdir(parents=True, exist_ok=True)
        checkout = program.resolve() if program else None
        names = [name for name in series.split(',') if name]

        async def run() -> Soak:
            soak = Soak(plan, used, seed, checkout)
            if hardened:
                soak.site.program = 'standins.hardened_host'
            if link_bytes_per_s:
                soak.use_slow_links(link_bytes_per_s)
            await soak.run(seconds or plan.seconds, names, end)
            return soak

        soak = uvloop.run(run())
    click.echo(soak.summary())
    sys.exit(1 if soak.broken else 0)


if __name__ == '__main__':
    main()
