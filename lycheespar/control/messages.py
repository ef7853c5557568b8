"""Messages to control hosts, carried by ZeroMQ.

Each request is answered by one reply with the same serial.
"""

from __future__ import annotations

import msgspec

from lycheespar.configuration.changes import Change
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import Stamp


class Pull(msgspec.Struct, frozen=True, tag='pull'):
    """A node asks for what changed since the revision it has.

    Attributes
    ----------
    node : str
        Identity of the node; the revision is in force there.
    revision : int
        Revision that the node has.
    wait_s : float
        Time in seconds for which the reply may wait for a change.
    """

    node: str
    revision: int
    wait_s: float


class PullReply(msgspec.Struct, frozen=True, tag='pull_reply'):
    """What changed: a list of changes, or the whole configuration.

    Attributes
    ----------
    stamp : Stamp
        Newest stamp known to the control host.
    changes : tuple[Change, ...]
        Accepted changes that follow the revision asked for, in order.
    configuration : Configuration | None
        Whole configuration, where the changes are no longer kept; the changes
        then follow its revision.
    held_ms : float
        Time in milliseconds from the receipt of the pull to the moment at
        which the stamp had the age that it shows.
    base_revision : int
        Revision that the first change follows; negative for the revision
        asked for.
    """

    stamp: Stamp
    changes: tuple[Change, ...] = ()
    configuration: Configuration | None = None
    held_ms: float = 0
    base_revision: int = -1


class Claim(msgspec.Struct, frozen=True, gc=False, tag='claim'):
    """A node claims an idempotency key for one attempt.

    Attributes
    ----------
    key : bytes
        Digest of service and key.
    attempt : bytes
        Random identity of the attempt.
    fingerprint : bytes
        Digest of the request.
    holder : str
        Identity of the node that makes the attempt.
    incarnation : int
        Incarnation of that node.
    retention_s : float
        Time in seconds for which the claim holds.
    """

    key: bytes
    attempt: bytes
    fingerprint: bytes = b''
    holder: str = ''
    incarnation: int = 0
    retention_s: float = 0


class Release(msgspec.Struct, frozen=True, gc=False, tag='release'):
    """Ends the claim of an attempt that surely did not and will not start."""

    key: bytes
    attempt: bytes


class ClaimReply(msgspec.Struct, frozen=True, tag='claim_reply'):
    """The claim that holds, or the one that was released."""

    claim: Claim


class Failure(msgspec.Struct, frozen=True, tag='failure'):
    """The request failed.

    Attributes
    ----------
    code : str
        Code of the error.
    detail : str
        Short sentence for people.
    """

    code: str
    detail: str


ControlRequest = Pull | Claim | Release
ControlReply = PullReply | ClaimReply | Failure
