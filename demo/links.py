"""Delays the traffic to all nodes; runs as a separate process."""

from __future__ import annotations

import asyncio
import sys

import msgspec

from standins.link import Link

MS_PER_S = 1000


class LinkPlan(msgspec.Struct):
    """Addresses and delay of one link.

    Attributes
    ----------
    host : str
        IP number of the node.
    port, listen : int
        Port of the node, and port on which the link listens at the same IP
        number.
    delay_ms : float
        One-way delay in milliseconds.
    near : str
        Prefix of the IP numbers of callers whose traffic is not delayed; if
        empty, all traffic is delayed.
    """

    host: str
    port: int
    listen: int
    delay_ms: float
    near: str = ''

    def delay_s(self, caller: str) -> float:
        """Return the one-way delay, in seconds, for a caller's IP number."""
        if self.near and caller.startswith(self.near):
            return 0
        return self.delay_ms / MS_PER_S


async def _run(plans: list[LinkPlan]) -> None:
    links = [Link(plan.host, plan.port, plan.delay_s) for plan in plans]
    for link, plan in zip(links, plans, strict=True):
        await link.start(plan.host, plan.listen)
    await asyncio.Event().wait()


def main() -> None:
    """Run the links that the first argument lists as JSON."""
    plans = msgspec.json.decode(sys.argv[1], type=list[LinkPlan])
    asyncio.run(_run(plans))


if __name__ == '__main__':
    main()
