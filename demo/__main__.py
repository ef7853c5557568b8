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
    help='Deployment to run.',
)
@click.option(
    '--trace', is_flag=True, help='Also print the spans of one traced request.'
)
def main(deployment: str, *, trace: bool) -> None:
    """Run a deployment and exit with 0 if all guarantees were met."""
    names = DEPLOYMENTS if deployment == 'both' else (deployment,)
    violations = sum(run(DEPLOYMENTS[name], traced=trace) for name in names)
    print(
        '\nall guarantees met'
        if not violations
        else f'\n{violations} violations'
    )
    sys.exit(1 if violations else 0)


if __name__ == '__main__':
    main()
