"""Answers whose head is not valid HTTP never reach callers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

import pytest

from lycheespar.answer_head import check_head
from lycheespar.call import Answer, Load
from lycheespar.errors import OutcomeUnknownError
from lycheespar.protocol.framing import encode_frame
from lycheespar.protocol.messages import AnswerHead
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.client import TargetClient
from lycheespar.tests.admission.calls import make_call
from lycheespar.tests.targets.client_tests import ScriptedTarget
from standins.cluster import wait_until

LENGTH = b'Content-Length: 5\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
CHUNKS = b'5\r\nhello\r\n0\r\n\r\n'
CHUNKED_BODY = CHUNKED + b'\r\n' + CHUNKS
OK = b'HTTP/1.1 200 OK\r\n'
WHOLE = OK + LENGTH + b'\r\nhello'

_INVALID_STATUSES = (b'000', b'001', b'099', b'600', b'999')
_INVALID_STATUS_LINES = (
    *(b'HTTP/1.1 %s OK' % status for status in _INVALID_STATUSES),
    b'HTTP/1.1 20 OK',
    b'HTTP/1.1 0200 OK',
    b'HTTP/1.1 -20 OK',
    b'HTTP/1.1 2x0 OK',
    b'HTTP/1.1  200 OK',
    b'HTTP/1.1 200OK',
    b'HTTP/1.1 200 O\x01K',
    b'HTTP/1.1 200 O\x7fK',
    b'HTTP/1.1 200 O\rK',
    b'HTTP/0.9 200 OK',
    b'HTTP/1.2 200 OK',
    b'HTTP/2.0 200 OK',
    b'http/1.1 200 OK',
    b'RTSP/1.0 200 OK',
    b'ICE/1.0 200 OK',
    b'200 OK',
)
_INVALID_FIELDS = (
    b'Content-Type : a',
    b'Connection : close',
    b'Server : a',
    b'X-Any : a',
    b'X-Any\t: a',
    b'X Any: a',
    b'X-\x01Any: a',
    b'X-\x7fAny: a',
    b'X-\x00Any: a',
    'X-\u00e9: a'.encode(),
    b'X(Any): a',
    b': a',
    b'no colon',
    b' X-Any: a',
    b'\tX-Any: a',
    b'X-Any: a\r\n folded',
    b'X-Any: a\r\n\tfolded',
    b'X-Any: a\x00b',
    b'X-Any: a\x01b',
    b'X-Any: a\x0bb',
    b'X-Any: a\x1fb',
    b'X-Any: a\x7fb',
    b'X-Any: a\rb',
)
_INVALID_FRAMINGS = (
    b'Content-Length : 5\r\n\r\nhelloworld',
    b'Content-Length\t: 5\r\n\r\nhelloworld',
    b'Content-Length: 5\r\nContent-Length: 10\r\n\r\nhelloworld',
    b'Content-Length: +5\r\n\r\nhello',
    b'Content-Length: -5\r\n\r\nhello',
    b'Content-Length: \r\n\r\nhello',
    b'Content-Length: 5 5\r\n\r\nhello',
    b'Transfer-Encoding : chunked\r\n\r\n' + CHUNKS,
    b'Transfer-Encoding: chunked, chunked\r\n\r\n' + CHUNKS,
    CHUNKED + CHUNKED_BODY,
    b'Transfer-Encoding: chunked, identity\r\n\r\n' + CHUNKS,
    b'Transfer-Encoding: gzip, chunked\r\n\r\n' + CHUNKS,
    b'Transfer-Encoding: xchunked\r\n\r\n' + CHUNKS,
    b'Transfer-Encoding: identity\r\n\r\nhello',
    b'Transfer-Encoding: \r\n\r\nhello',
    CHUNKED + LENGTH + b'\r\n' + CHUNKS,
    LENGTH + CHUNKED_BODY,
)
_INVALID_ANSWERS = (
    *(line + b'\r\n' + LENGTH + b'\r\nhello' for line in _INVALID_STATUS_LINES),
    *(OK + line + b'\r\n' + LENGTH + b'\r\nhello' for line in _INVALID_FIELDS),
    *(OK + LENGTH + line + b'\r\n\r\nhello' for line in _INVALID_FIELDS),
    *(OK + framing for framing in _INVALID_FRAMINGS),
    b'HTTP/1.0 200 OK\r\n' + CHUNKED_BODY,
    b'HTTP/1.1 204 No Content\r\n' + LENGTH + b'\r\nhello',
    b'HTTP/1.1 204 No Content\r\n' + CHUNKED_BODY,
    b'HTTP/1.1 101 Switching Protocols\r\n\r\nhello',
    b'HTTP/1.1 101 Switching Protocols\r\n' + LENGTH + b'\r\nhello',
    b'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n'
    b'Upgrade: other\r\n\r\nhello',
    b'HTTP/1.1 100 Continue\r\nX-Any: a\x01b\r\n\r\n' + WHOLE,
    b'HTTP/1.1 100 Continue\r\n X-Any: a\r\n\r\n' + WHOLE,
    b'HTTP/1.1 103 Early Hints\r\n' + LENGTH + b'\r\n' + WHOLE,
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n' + LENGTH + b'\r\nhello',
    # Both heads are in one piece of bytes.
    b'HTTP/1.1 100 Continue\n\nHTTP/1.1 600 OK\nContent-Length: 5\n\nhello',
)
_VALID_HEADS = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 299 Odd\r\n',
    b'HTTP/1.1 599 Odd\r\n',
    b'HTTP/1.1 200 \r\n',
    b'HTTP/1.1 200\r\n',
    b'HTTP/1.1 200 a\tb \xc3\xa9 \xe9\r\n',
    b'\r\n\r\nHTTP/1.1 200 OK\r\n',
    OK + b"!#$%&'*+-.^_`|~09azAZ: a\r\n",
    OK + b'X-Any:a\r\n',
    OK + b'X-Any: \t a\tb \t\r\n',
    OK + b'X-Any:\r\n',
    OK + 'X-Any: \u00e9\U0001f600\r\n'.encode(),
    OK + b'X-Any: a: b\r\nX-Any: c\r\n',
    OK + b'X-Any: ' + b'a' * 8000 + b'\r\n',
    OK + b''.join(b'X-%d: a\r\n' % number for number in range(120)),
    b'HTTP/1.1 200 OK\nX-Any: a\n',
    b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n',
)

_ODD_BYTES = (
    *(bytes([code]) for code in range(33)),
    *(bytes([code]) for code in b':,;/()0159 aZ'),
    b'\x7f',
    b'\x80',
    b'\xff',
    b'\r\n',
)


class Target:
    """Target that answers each request with the same bytes, and its client."""

    def __init__(
        self, sent: bytes, *, piece_bytes: int = 0, ends: bool = False
    ) -> None:
        """Set the bytes, the size of their segments, and if they are all."""
        self._sent = sent
        self._ends = ends
        self._piece_bytes = piece_bytes or len(sent)
        self.server = ScriptedTarget(self._send)

    async def start(self) -> None:
        """Open the port and the client."""
        await self.server.start()
        self.client = TargetClient(
            Announcement('one', 'a', 'b', self.server.address)
        )

    async def _send(self, writer: asyncio.StreamWriter, _: bytes) -> None:
        for begin in range(0, len(self._sent), self._piece_bytes):
            writer.write(self._sent[begin : begin + self._piece_bytes])
            await asyncio.sleep(0)
        if self._ends:
            writer.close()


@pytest.fixture
async def connect() -> AsyncIterator:
    """Return a function that starts a target that sends given bytes."""
    started: list[Target] = []

    async def start(sent: bytes, **options: int) -> Target:
        started.append(Target(sent, **options))
        await started[-1].start()
        return started[-1]

    yield start
    for target in started:
        await target.client.close()


async def _read(answer: Answer) -> bytes:
    if isinstance(answer.body, bytes):
        return answer.body
    return b''.join([chunk async for chunk in answer.body])


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('sent', _INVALID_ANSWERS)
async def test_an_invalid_head_is_no_answer(connect, sent, method):
    """Callers got status 000, and bodies cut by a misread length."""
    target = await connect(sent)
    with pytest.raises(OutcomeUnknownError) as raised:
        await target.client.send(make_call(method=method, budget_s=2), Load())
    assert raised.value.status == 502
    await wait_until(lambda: not target.server.open)


@pytest.mark.parametrize('piece_bytes', [1, 7])
@pytest.mark.parametrize(
    'sent',
    [
        b'HTTP/1.1 000 OK\r\n' + LENGTH + b'\r\nhello',
        OK + b'Content-Length : 5\r\n\r\nhelloworld',
        OK + b' X-Any: a\r\n' + LENGTH + b'\r\nhello',
        OK + b'X-Any: a\x01b\r\n' + LENGTH + b'\r\nhello',
        b'RTSP/1.0 200 OK\r\n' + LENGTH + b'\r\nhello',
    ],
)
async def test_an_invalid_head_in_segments_is_no_answer(
    connect, sent, piece_bytes
):
    target = await connect(sent, piece_bytes=piece_bytes)
    with pytest.raises(OutcomeUnknownError):
        await target.client.send(make_call(budget_s=2), Load())
    await wait_until(lambda: not target.server.open)


async def test_an_invalid_head_is_no_answer_to_a_head_request(connect):
    target = await connect(OK + b'Content-Length : 5\r\n\r\n')
    with pytest.raises(OutcomeUnknownError):
        await target.client.send(make_call(method='HEAD'), Load())


@pytest.mark.parametrize('seed', range(5))
async def test_no_change_of_a_head_makes_an_invalid_answer(connect, seed):
    """A parser may accept what no list of cases names."""
    random = Random(seed)
    answered = 0
    for _ in range(100):
        head = bytearray(random.choice(_VALID_HEADS) + LENGTH)
        for _ in range(random.randint(1, 3)):
            begin = random.randrange(len(head))
            changed = random.choice(_ODD_BYTES) * random.randint(0, 2)
            head[begin : begin + random.randint(0, 1)] = changed
        target = await connect(bytes(head) + b'\r\nhello', ends=True)
        try:
            answer = await target.client.send(make_call(budget_s=5), Load())
            await _read(answer)
        except OutcomeUnknownError as error:
            assert error.status == 502
        else:
            check_head(answer.status, answer.headers)
            answered += 1
    assert answered


@pytest.mark.parametrize('piece_bytes', [0, 7])
@pytest.mark.parametrize('framing', [LENGTH + b'\r\nhello', CHUNKED_BODY])
@pytest.mark.parametrize('head', _VALID_HEADS)
async def test_an_odd_but_valid_head_is_passed_on(
    connect, head, framing, piece_bytes
):
    """A check that is too strict would lose whole answers."""
    target = await connect(head + framing, piece_bytes=piece_bytes)
    for _ in range(2):
        answer = await target.client.send(make_call(), Load())
        assert await _read(answer) == b'hello'
        assert 200 <= answer.status <= 599


async def test_an_answer_of_http_1_0_is_passed_on(connect):
    target = await connect(b'HTTP/1.0 200 OK\r\n' + LENGTH + b'\r\nhello')
    answer = await target.client.send(make_call(), Load())
    assert await _read(answer) == b'hello'


@pytest.mark.parametrize(
    ('sent', 'passed_on'),
    [
        (b'\xe9', '\u00e9'),
        (b'a \xc3\xa9', 'a \u00e9'),
        (b'\xc3\xa9 \xff', '\u00c3\u00a9 \u00ff'),
        (b'\xed\xa0\x80', '\u00ed\u00a0\u0080'),
    ],
)
async def test_a_value_that_is_not_utf_8_can_be_sent_to_other_nodes(
    connect, sent, passed_on
):
    """It ended the channel to the caller's node, with all calls on it."""
    target = await connect(
        OK + b'X-Any: ' + sent + b'\r\n' + LENGTH + b'\r\nhello'
    )
    answer = await target.client.send(make_call(), Load())
    assert dict(answer.headers)['X-Any'] == passed_on
    head = AnswerHead(
        b'', answer.status, answer.headers, Load(), b'hello', streamed=False
    )
    assert encode_frame(head)
