"""Measures the slopes from which docs/CAPACITY.md is worked out.

Run as ``python -m bench.slopes COMMAND``.
"""

from __future__ import annotations

import click
from loguru import logger

from bench.gossip_slopes import measure_gossip, measure_heal, measure_stamps
from bench.process_slopes import measure_processes
from bench.pull_slopes import measure_pulls
from bench.state_slopes import measure_state


@click.group()
def cli() -> None:
    """Measure slopes."""
    logger.remove()


@cli.command()
@click.option('--nodes', multiple=True, type=int, default=(10, 50, 200))
@click.option('--direct', type=int, default=1)
def stamps(nodes: tuple[int, ...], direct: int) -> None:
    """Age of freshness stamps, on a virtual network."""
    for count in nodes:
        click.echo(measure_stamps(count, direct))


@cli.command()
@click.option('--nodes', multiple=True, type=int, default=(10, 40, 160))
def gossip(nodes: tuple[int, ...]) -> None:
    """Bytes and processor time of gossip, on a virtual network."""
    for count in nodes:
        for line in measure_gossip(count):
            click.echo(line)


@cli.command()
@click.option('--nodes', type=int, default=100)
@click.option('--cut-s', type=float, default=60)
def heal(nodes: int, cut_s: float) -> None:
    """Merge of two regions after a cut, on a virtual network."""
    for line in measure_heal(nodes, cut_s):
        click.echo(line)


@cli.command()
def state() -> None:
    """Memory and encoding cost of full-size state in this process."""
    for line in measure_state():
        click.echo(line)


@cli.command()
def pulls() -> None:
    """Cost of pulls at a control host, as real processes."""
    for line in measure_pulls():
        click.echo(line)


@cli.command()
@click.option('--nodes', multiple=True, type=int, default=(5, 20, 40))
def processes(nodes: tuple[int, ...]) -> None:
    """Cost of whole node processes at rest."""
    for line in measure_processes(nodes):
        click.echo(line)


if __name__ == '__main__':
    cli()
