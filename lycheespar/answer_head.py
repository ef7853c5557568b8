"""What the head of an answer must be; all else is no answer.

Parsers of HTTP accept heads that can be read in more than one way, so that the
caller and the target may disagree on what was answered. The rules are those of
RFC 9110 and RFC 9112, without the exceptions for lenient recipients but two: a
line may end with LF alone, and empty lines may stand before a head.
"""

from __future__ import annotations

import re
from typing import Final

from aiohttp import HttpVersion10, hdrs
from aiohttp.http import RawResponseMessage

from lycheespar.call import Headers
from lycheespar.errors import InvalidAnswerError

# Statuses below this one are of interim answers.
MIN_FINAL_STATUS: Final = 200
MAX_STATUS: Final = 599
SWITCHING_PROTOCOLS: Final = 101
NO_CONTENT: Final = 204
# Most characters of a field's name in the description of an error.
_MAX_NAME_LENGTH: Final = 40

_TOKEN: Final = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_STATUS_LINE: Final = (
    rb'HTTP/1\.[01] [1-5]\d\d(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n'
)
_FIELD_LINE: Final = _TOKEN.encode() + rb':[\t\x20-\x7e\x80-\xff]*\r?\n'
_HEAD: Final = re.compile(
    rb'[\r\n]*' + _STATUS_LINE + rb'(?:' + _FIELD_LINE + rb')*+\r?\n'
)
_HEAD_START: Final = re.compile(rb'[\r\n]*' + _STATUS_LINE)
_VALID_FIELD_LINES: Final = re.compile(rb'(?:' + _FIELD_LINE + rb')*+')
_DIGITS: Final = re.compile('[0-9]+')
_NAME: Final = re.compile(_TOKEN)
_FORBIDDEN_IN_VALUE: Final = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')


def check_received_head(received: bytearray, head: RawResponseMessage) -> int:
    """Check a head that a target has sent, interim or final.

    Parameters
    ----------
    received : bytearray
        Received bytes, which begin with the head and may go on behind it.
    head : RawResponseMessage
        The head as it was parsed.

    Returns
    -------
    int
        Length of the head in bytes.

    Raises
    ------
    InvalidAnswerError
        It is not the head of an answer.
    """
    match = _HEAD.match(received)
    if match is None:
        raise InvalidAnswerError(_describe_fault(received))
    _check_framing(head)
    return match.end()


def check_head(status: int, headers: Headers) -> None:
    """Check the head of a final answer that another node has sent.

    Raises
    ------
    InvalidAnswerError
        It is not the head of an answer.
    """
    if not MIN_FINAL_STATUS <= status <= MAX_STATUS:
        raise InvalidAnswerError(f'the status is {status}')
    for name, text in headers:
        if not _NAME.fullmatch(name) or _FORBIDDEN_IN_VALUE.search(text):
            raise InvalidAnswerError(_invalid_field(name))


def _check_framing(head: RawResponseMessage) -> None:
    """Check that there is one way to tell where the answer ends.

    Raises
    ------
    InvalidAnswerError
        The answer may end at several places, or has an unsupported coding.
    """
    if head.code == SWITCHING_PROTOCOLS:
        raise InvalidAnswerError('the answer switches protocols, unasked')
    lengths = head.headers.getall(hdrs.CONTENT_LENGTH, ())
    codings = head.headers.getall(hdrs.TRANSFER_ENCODING, ())
    if len(lengths) + len(codings) > 1:
        raise InvalidAnswerError('the end of the body is declared twice')
    if codings and not _is_chunked(head, codings[0]):
        raise InvalidAnswerError('the transfer coding is not supported')
    if lengths and not _DIGITS.fullmatch(lengths[0]):
        raise InvalidAnswerError('the length of the body is not a number')
    if head.code >= MIN_FINAL_STATUS and head.code != NO_CONTENT:
        return
    if codings or (lengths and lengths[0].strip('0')):
        raise InvalidAnswerError(f'status {head.code} declares a body')


def _is_chunked(head: RawResponseMessage, coding: str) -> bool:
    return head.version != HttpVersion10 and coding.lower() == 'chunked'


def _describe_fault(received: bytearray) -> str:
    """Return which part of a head is invalid, without values of fields."""
    start = _HEAD_START.match(received)
    if start is None:
        return 'the status line is invalid'
    lines = _VALID_FIELD_LINES.match(received, start.end())
    invalid = received[lines.end() if lines else start.end() :]
    name = invalid[:_MAX_NAME_LENGTH].partition(b':')[0]
    return _invalid_field(name.decode('ascii', 'backslashreplace'))


def _invalid_field(name: str) -> str:
    return f'the header field {name[:_MAX_NAME_LENGTH]!r} is invalid'
