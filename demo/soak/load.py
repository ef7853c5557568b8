"""Load of a soak: callers beside each node, at the rates of a scenario."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections import defaultdict
from functools import partial
from typing import Final

from demo.emulate import HOST, MS_PER_S
from demo.scenario import ClassPlan, Scenario
from demo.soak.answers import Answer
from demo.soak.callers import CallerConnection
from demo.soak.exchanges import NOT_RUN, Exchange, Ledger
from demo.soak.targets import ODD_FRAMINGS
from standins.platform import ATTEMPT_ID_HEADER, DEADLINE_HEADER, Machine

# Idle connections are used again for up to this time in seconds.
MAX_IDLE_S: Final = 12
CONNECT_TIMEOUT_S: Final = 1
# Share of the requests that are sent with others behind them, and their number.
PIPELINED_SHARE: Final = 0.02
PIPELINE_DEPTH: Final = 4
CHUNKED_PIECES: Final = 4
# Share of the connections whose caller stops to read, and for how long at most,
# in seconds.
MAX_ODD_BYTES: Final = 10_000
SLOW_SHARE: Final = 0.05
MAX_PAUSE_S: Final = 0.3


class Load:
    """Sends requests to the nodes and records how they end.

    Parameters
    ----------
    scenario : Scenario
        Classes and their rates.
    ledger : Ledger
        Records the exchanges.
    seed : int
        Seed of the random numbers.

    Attributes
    ----------
    machines : list[Machine]
        Machines whose nodes get requests.
    idempotent_plans : list[ClassPlan]
        Classes of requests that callers send and may repeat.
    odd_target_share : float
        Share of requests whose target answers in tiny chunks or not wholly.
    in_use : dict[str, bool]
        Whether callers send new work to a node, by its address.
    """

    def __init__(self, scenario: Scenario, ledger: Ledger, seed: int) -> None:
        """Create callers without connections."""
        self._plans = [
            plan
            for plan in scenario.classes
            if plan.per_s and not plan.upload_s
        ]
        self._ledger = ledger
        self._random = random.Random(seed)
        self._classes = {plan.name: plan for plan in scenario.classes}
        self._pools: dict[str, list[CallerConnection]] = defaultdict(list)
        self._tasks: set[asyncio.Task[object]] = set()
        self.machines: list[Machine] = []
        self.odd_target_share = 0.0
        self.idempotent_plans = [
            plan
            for plan in scenario.classes
            if plan.per_s and plan.kind == 'idempotent'
        ]
        self.in_use: dict[str, bool] = defaultdict(lambda: True)

    async def run(self, seconds: float) -> None:
        """Send requests for a time, then await the last answers."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        plans = self._plans
        rates = [plan.per_s for plan in plans]
        while loop.time() < ends_at:
            plan = self._random.choices(plans, rates)[0]
            machine = self.choose_machine()
            self._start(self._send_with_repeats(machine, plan))
            await asyncio.sleep(self._random.expovariate(sum(rates)))
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def call(
        self, machine: Machine, class_name: str, deadline: float
    ) -> bool:
        """Send a call that a target makes; return whether it succeeded."""
        plan = self._classes[class_name]
        now = asyncio.get_running_loop().time()
        limit = min(deadline, now + plan.deadline_ms / MS_PER_S)
        answer = await self._send(machine, plan, limit, 'kept')
        return answer is not None and answer.status == 200

    def choose_machine(self) -> Machine:
        """Choose a node; in a zone that lost most of its nodes, any node."""
        used = [
            machine
            for machine in self.machines
            if self.in_use[machine.ip] or not self._zone_is_in(machine.zone)
        ]
        return self._random.choice(used or self.machines)

    def _zone_is_in(self, zone: str) -> bool:
        """Return whether at least half of a zone's nodes are in use."""
        states = [
            self.in_use[machine.ip]
            for machine in self.machines
            if machine.zone == zone
        ]
        return 2 * sum(states) >= len(states)

    def _start(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_with_repeats(
        self, machine: Machine, plan: ClassPlan
    ) -> None:
        """Send a request; repeat it once, on a new connection, if allowed."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + plan.deadline_ms / MS_PER_S
        style = self._style(plan)
        if style == 'pipelined':
            await self._send_pipelined(machine, plan, deadline)
            return
        answer = await self._send(machine, plan, deadline, style)
        status = 0 if answer is None else answer.status
        repeatable = plan.kind != 'non_idempotent' or status in NOT_RUN
        if status == 200 or not repeatable:
            return
        retry_s = 0.02
        if answer is not None:
            retry_s = float(answer.headers.get('retry-after', '0.02'))
        if retry_s <= (deadline - loop.time()) / 3:
            await asyncio.sleep(retry_s)
            await self._send(self.choose_machine(), plan, deadline, 'fresh')

    def _style(self, plan: ClassPlan) -> str:
        draw = self._random.random()
        if draw < PIPELINED_SHARE:
            return 'pipelined'
        if plan.kind == 'idempotent':
            return 'kept'
        if plan.body_bytes and draw < 0.2:
            return 'chunked'
        return 'kept' if draw < 0.5 else 'fresh'

    async def _send_pipelined(
        self, machine: Machine, plan: ClassPlan, deadline: float
    ) -> None:
        """Send a request and others behind it, without awaiting answers.

        Each has the deadline of its own class, which its route has as time-out.
        """
        now = asyncio.get_running_loop().time()
        connection = self._take_idle(machine)
        connection = connection or await self.open(machine, deadline)
        if connection is None:
            return
        plans = self._plans
        behind = self._random.choices(plans, k=PIPELINE_DEPTH - 1)
        sends = [
            self.send_on(
                connection,
                machine,
                each,
                min(deadline, now + each.deadline_ms / MS_PER_S),
                'pipelined',
            )
            for each in (plan, *behind)
        ]
        await asyncio.gather(*sends)
        self._give_back(machine, connection)

    async def _send(
        self, machine: Machine, plan: ClassPlan, deadline: float, style: str
    ) -> Answer | None:
        connection = None
        if style != 'fresh':
            connection = self._take_idle(machine)
        connection = connection or await self.open(machine, deadline)
        if connection is None:
            return None
        answer = await self.send_on(connection, machine, plan, deadline, style)
        if style == 'fresh':
            connection.close()
        else:
            self._give_back(machine, connection)
        return answer

    async def send_on(
        self,
        connection: CallerConnection,
        machine: Machine,
        plan: ClassPlan,
        deadline: float,
        style: str,
        headers: tuple[str, ...] = (),
    ) -> Answer | None:
        """Send a request on a connection; return its answer, if any."""
        now = asyncio.get_running_loop().time()
        left_ms = max(1, int((deadline - now) * MS_PER_S))
        attempt = uuid.UUID(int=self._random.getrandbits(128)).hex[:16]
        size = self._draw_bytes(plan.answer_bytes)
        exchange = Exchange(
            attempt,
            machine.ip,
            plan.name,
            plan.kind,
            style,
            now,
            # The deadline that the node is told.
            now + left_ms / MS_PER_S,
            size,
        )
        self._ledger.exchanges.append(exchange)
        head, pieces = self._build(exchange, plan, style, headers)
        return await connection.send(exchange, head, pieces)

    def _build(
        self,
        exchange: Exchange,
        plan: ClassPlan,
        style: str,
        headers: tuple[str, ...],
    ) -> tuple[bytes, list[bytes]]:
        """Return the head of a request and the pieces of its body."""
        work_ms = plan.work_ms * self._random.gammavariate(11, 1 / 11)
        framing = self._random.choices(
            ('length', 'chunked', 'close'), (80, 15, 5)
        )[0]
        if self._random.random() < self.odd_target_share:
            framing = self._random.choice(ODD_FRAMINGS)
            exchange.odd_target = framing != 'tiny'
            # Larger answers in chunks of a byte are slowed down on purpose.
            exchange.size = min(exchange.size, MAX_ODD_BYTES)
        query = f'ms={work_ms:.1f}&size={exchange.size}&framing={framing}'
        if plan.calls:
            query += f'&calls={plan.calls}&count={plan.call_count}'
        unsafe = plan.kind == 'non_idempotent'
        left_ms = round((exchange.deadline - exchange.sent_at) * MS_PER_S)
        lines = [
            f'{"POST" if unsafe else "GET"} /{plan.name}/x?{query} HTTP/1.1',
            f'Host: {HOST}',
            f'{ATTEMPT_ID_HEADER}: {exchange.attempt}',
            f'{DEADLINE_HEADER}: {left_ms}',
            *headers,
        ]
        pieces: list[bytes] = []
        body = b'x' * self._draw_bytes(plan.body_bytes)
        if style == 'chunked':
            lines.append('Transfer-Encoding: chunked')
            step = len(body) // CHUNKED_PIECES + 1
            parts = [
                body[begin : begin + step]
                for begin in range(0, len(body), step)
            ]
            pieces = [b'%x\r\n%s\r\n' % (len(part), part) for part in parts]
            pieces.append(b'0\r\n\r\n')
        elif unsafe:
            lines.append(f'Content-Length: {len(body)}')
            pieces = [body]
        return '\r\n'.join([*lines, '', '']).encode(), pieces

    def _draw_bytes(self, mean: int) -> int:
        if not mean:
            return 0
        return min(int(self._random.gammavariate(2, mean / 2)) + 1, 6 * mean)

    async def open(
        self, machine: Machine, deadline: float
    ) -> CallerConnection | None:
        """Open a connection; return None if that fails in time."""
        loop = asyncio.get_running_loop()
        host, port = machine.address('outbound').split(':')
        limit = min(deadline, loop.time() + CONNECT_TIMEOUT_S)
        slow = self._random.random() < SLOW_SHARE
        pause_s = self._random.uniform(0, MAX_PAUSE_S) if slow else 0
        try:
            async with asyncio.timeout_at(limit):
                _, connection = await loop.create_connection(
                    partial(CallerConnection, pause_s), host, int(port)
                )
        except (OSError, TimeoutError):
            return None
        return connection

    def _take_idle(self, machine: Machine) -> CallerConnection | None:
        pool = self._pools[machine.ip]
        oldest = asyncio.get_running_loop().time() - MAX_IDLE_S
        while pool:
            connection = pool.pop(self._random.randrange(len(pool)))
            if connection.usable and connection.idle_since > oldest:
                return connection
            connection.close()
        return None

    def _give_back(
        self, machine: Machine, connection: CallerConnection
    ) -> None:
        if connection.usable and not connection.waiting:
            self._pools[machine.ip].append(connection)
        else:
            connection.close()
