"""Callers of a soak that upload slowly, and targets that answer early."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import Final

from demo.emulate import HOST, MS_PER_S
from demo.scenario import ClassPlan, Scenario
from demo.soak.callers import CallerConnection
from demo.soak.exchanges import Exchange, Ledger
from demo.soak.load import Load
from standins.platform import ATTEMPT_ID_HEADER, DEADLINE_HEADER, Machine

# Time in seconds between two pieces of a body.
PIECE_INTERVAL_S: Final = 0.03
MIN_BODY_BYTES: Final = 100
# Share of the uploads that are sent at once.
AT_ONCE_SHARE: Final = 0.3


class UploadingCallers:
    """Sends the requests of classes with large bodies, in pieces.

    Half of the callers read while they send, the others once they have sent
    all. Some send a further request on the same connection.

    Parameters
    ----------
    load : Load
        Opens the connections.
    scenario : Scenario
        Its classes with an `upload_s` are sent.
    ledger : Ledger
        Records the exchanges.
    seed : int
        Seed of the random numbers.

    Attributes
    ----------
    early_answers : bool
        Whether targets answer before they have read a body.
    """

    def __init__(
        self, load: Load, scenario: Scenario, ledger: Ledger, seed: int
    ) -> None:
        """Prepare the callers; `run` sends their requests."""
        self._load = load
        self._ledger = ledger
        self._plans = [
            plan for plan in scenario.classes if plan.per_s and plan.upload_s
        ]
        self._random = random.Random(f'uploads {seed}')
        self.early_answers = False

    async def run(self, seconds: float) -> None:
        """Start uploads for a time, then await the last answers."""
        if not self._plans:
            return
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        rates = [plan.per_s for plan in self._plans]
        async with asyncio.TaskGroup() as callers:
            while loop.time() < ends_at:
                plan = self._random.choices(self._plans, rates)[0]
                callers.create_task(self._upload(plan))
                await asyncio.sleep(self._random.expovariate(sum(rates)))

    async def _upload(self, plan: ClassPlan) -> None:
        machine = self._load.choose_machine()
        deadline = asyncio.get_running_loop().time() + (
            plan.deadline_ms / MS_PER_S
        )
        sends_first = self._random.random() < 0.5
        connection = await self._load.open(machine, deadline)
        if connection is None:
            return
        connection.sends_first = sends_first
        exchange, head, pieces = self._build(plan, machine, deadline)
        await connection.send(exchange, head, pieces)
        # A caller that stopped to send can't use the connection again.
        if exchange.last_byte_at and self._random.random() < 0.5:
            await self._send_further(connection, machine)
        connection.close()

    async def _send_further(
        self, connection: CallerConnection, machine: Machine
    ) -> None:
        """Send a request without a body behind an upload."""
        plans = self._load.idempotent_plans
        if not (connection.usable and plans):
            return
        plan = self._random.choice(plans)
        now = asyncio.get_running_loop().time()
        await self._load.send_on(
            connection,
            machine,
            plan,
            now + plan.deadline_ms / MS_PER_S,
            'behind upload',
        )

    def _build(
        self, plan: ClassPlan, machine: Machine, deadline: float
    ) -> tuple[Exchange, bytes, list[bytes]]:
        """Return an upload: its exchange, its head, and the pieces."""
        draw = self._random
        exchange = Exchange(
            uuid.UUID(int=draw.getrandbits(128)).hex[:16],
            machine.ip,
            plan.name,
            plan.kind,
            'upload',
            asyncio.get_running_loop().time(),
            deadline,
            plan.answer_bytes,
        )
        self._ledger.exchanges.append(exchange)
        body = b'x' * draw.randint(MIN_BODY_BYTES, plan.body_bytes)
        upload_s = draw.uniform(0, plan.upload_s)
        if draw.random() < AT_ONCE_SHARE:
            upload_s = 0
        step = len(body) // (int(upload_s / PIECE_INTERVAL_S) + 1) + 1
        pieces = [
            body[begin : begin + step] for begin in range(0, len(body), step)
        ]
        framing = f'Content-Length: {len(body)}'
        if draw.random() < 0.5:
            framing = 'Transfer-Encoding: chunked'
            pieces = [b'%x\r\n%s\r\n' % (len(piece), piece) for piece in pieces]
            pieces.append(b'0\r\n\r\n')
        work_ms = plan.work_ms * draw.uniform(0.5, 1.5)
        query = f'ms={work_ms:.1f}&size={plan.answer_bytes}'
        if self.early_answers:
            query += '&early=1'
        left_ms = int((deadline - exchange.sent_at) * MS_PER_S)
        lines = (
            f'POST /{plan.name}/x?{query} HTTP/1.1',
            f'Host: {HOST}',
            f'{ATTEMPT_ID_HEADER}: {exchange.attempt}',
            f'{DEADLINE_HEADER}: {left_ms}',
            framing,
        )
        return exchange, '\r\n'.join([*lines, '', '']).encode(), pieces
