"""Command line of the demonstration."""

from __future__ import annotations

import sys

import click

from demo.plan import DEPLOYMENTS
from demo.run import run


@click.command()
@click.option(
    '--deployment',
    type=click.Choice([*DEPLOYMENTS, 'both']),
    default='both',
    help='Which deployment runs.',
)
@click.option('--trace', is_flag=True, help='Print the spans of one request.')
def main(deployment: str, *, trace: bool) -> None:
    """Run a deployment and exit with 0 if no promise was broken."""
    names = DEPLOYMENTS if deployment == 'both' else (deployment,)
    broken = sum(run(DEPLOYMENTS[name], traced=trace) for name in names)
    print('\nall promises held' if not broken else f'\n{broken} broken')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()
