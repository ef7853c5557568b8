"""Measures how costs grow with the size of a system.

The figures of docs/CAPACITY.md are calculated from these slopes. Run this
module as ``python -m bench.slopes COMMAND``.
"""

from __future__ import annotations

import click
from loguru import logger

from bench.channel_slopes import measure_channels
from bench.gossip_slopes import (
    measure_detection,
    measure_gossip,
    measure_heal,
    measure_stamps,
)
from bench.process_slopes import measure_processes
from bench.pull_slopes import measure_pulls
from bench.state_slopes import measure_state
from bench.team_slopes import measure_teams


@click.group()
def cli() -> None:
    """Measure how costs grow with the size of a system."""
    logger.remove()


@cli.command()
@click.option('--nodes', multiple=True, type=int, default=(10, 50, 200))
@click.option('--direct', type=int, default=1)
def stamps(nodes: tuple[int, ...], direct: int) -> None:
    """Measure the age of freshness stamps, on a virtual network."""
    for count in nodes:
        click.echo(measure_stamps(count, direct))


@cli.command()
@click.option('--nodes', multiple=True, type=int, default=(10, 40, 160))
def gossip(nodes: tuple[int, ...]) -> None:
    """Measure traffic and processor time of gossip, on a virtual network."""
    for count in nodes:
        for line in measure_gossip(count):
            click.echo(line)


@cli.command()
@click.option('--nodes', multiple=True, type=int, default=(10, 40, 160))
def detection(nodes: tuple[int, ...]) -> None:
    """Measure times until all nodes know of a crash, a start and a leave."""
    for count in nodes:
        click.echo(measure_detection(count))


@cli.command()
@click.option('--nodes', type=int, default=100)
@click.option('--cut-s', type=float, default=60)
def heal(nodes: int, cut_s: float) -> None:
    """Measure the merge of two regions after a partition of the network."""
    for line in measure_heal(nodes, cut_s):
        click.echo(line)


@cli.command()
def state() -> None:
    """Measure memory and encoding cost of full-size state."""
    for line in measure_state():
        click.echo(line)


@cli.command()
def teams() -> None:
    """Measure the cost of keys and quotas of teams."""
    for line in measure_teams():
        click.echo(line)


@cli.command()
def channels() -> None:
    """Measure the memory of channels and their cost while idle."""
    for line in measure_channels():
        click.echo(line)


@cli.command()
def pulls() -> None:
    """Measure the cost of pulls at a control host, with real processes."""
    for line in measure_pulls():
        click.echo(line)


@cli.command()
@click.option('--nodes', multiple=True, type=int, default=(5, 20, 40))
def processes(nodes: tuple[int, ...]) -> None:
    """Measure the cost of idle node processes."""
    for line in measure_processes(nodes):
        click.echo(line)


if __name__ == '__main__':
    cli()
