"""Structured events about crashes of targets and the requests they blame."""

from __future__ import annotations

from typing import ClassVar

from lycheespar.telemetry.events import Event, RequestEvent


class TargetCrashed(Event, frozen=True, tag='target_crashed'):
    """This node's target crashed while requests were running at it.

    Attributes
    ----------
    target : str
        Identity of the target; empty if its lease had expired before.
    evidence : str
        What confirmed the crash: ``refused``, ``restarted`` or ``gone``.
    after_s : float
        Time in seconds from the broken connection to the confirmation.
    fingerprints : tuple[str, ...]
        Fingerprints of the requests that had started, in hexadecimal.
    """

    part: ClassVar[str] = 'admission'

    target: str
    evidence: str
    after_s: float
    fingerprints: tuple[str, ...]


class CrashUnconfirmed(Event, frozen=True, tag='crash_unconfirmed'):
    """A connection to the target broke, and the target still listens.

    Attributes
    ----------
    target : str
        Identity of the target.
    started : int
        Number of requests that had started.
    """

    part: ClassVar[str] = 'admission'
    rate_limited: ClassVar[bool] = True

    target: str
    started: int


class CrashLearned(Event, frozen=True, tag='crash_learned'):
    """This node learned of a crash, its own ones included.

    Attributes
    ----------
    crash : str
        Id of the crash, in hexadecimal.
    age_s : float
        Time in seconds since the crash.
    fingerprints : tuple[str, ...]
        Fingerprints of requests that had started at the target.
    """

    part: ClassVar[str] = 'admission'

    crash: str
    age_s: float
    fingerprints: tuple[str, ...]


class SuspectCleared(Event, frozen=True, tag='suspect_cleared'):
    """A suspect request got a whole answer, here or at another node.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request, in hexadecimal.
    crashes : tuple[str, ...]
        Ids of the crashes that it is cleared of.
    """

    part: ClassVar[str] = 'admission'

    fingerprint: str
    crashes: tuple[str, ...]


class TrialFailed(Event, frozen=True, tag='crash_trial_failed'):
    """A convicted request was tried again and crashed its target again.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request, in hexadecimal.
    failed_trials : int
        Number of its trials that ended in a crash.
    refused_s : float
        Time in seconds until the next trial.
    """

    part: ClassVar[str] = 'admission'

    fingerprint: str
    failed_trials: int
    refused_s: float


class SuspectHandled(RequestEvent, frozen=True, tag='crash_verdict'):
    """A request was isolated or refused because of crashes.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request, in hexadecimal.
    verdict : str
        ``suspect`` or ``convicted``.
    crashes : int
        Crashes of the fingerprint that it is not cleared of.
    most_shared : int
        Most of these crashes that another fingerprint was in as well.
    node : str
        Node that is to run the request; empty if none.
    """

    part: ClassVar[str] = 'routing'

    fingerprint: str
    verdict: str
    crashes: int
    most_shared: int
    node: str
