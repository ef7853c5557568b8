"""The configuration in force at this node, and its freshness."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from loguru import logger
from reactivex import Observable
from reactivex.subject import BehaviorSubject, Subject

from lycheespar.configuration.model import (
    Configuration,
    Parameters,
    Service,
    resolve_services,
)
from lycheespar.configuration.route_table import RouteTable
from lycheespar.configuration.stamp import MS_PER_S, Stamp, boot_time_s
from lycheespar.teams.key_table import KeyTable

_NEVER: Final = float('-inf')

log = logger.bind(part='configuration')


class ConfigurationView:
    """The newest configuration that this node has received, and its age.

    The revision in force never decreases. A stamp proves that when it was
    issued, no accepted revision was greater than the stamp's. So the
    configuration in force is confirmed to have been current when the newest
    stamp was issued whose revision is not greater than its own.

    Parameters
    ----------
    configuration : Configuration
        Initial configuration.
    stale_after_s : float
        Age in seconds above which the configuration is stale; infinite if
        stale configurations are served.
    clock : Callable
        Monotonic clock, in seconds.
    """

    __slots__ = (
        '_clock',
        '_configuration',
        '_configurations',
        '_confirmed_at',
        '_highest_known_revision',
        '_keys',
        '_newer_stamps',
        '_received_at',
        '_reported_low_revision',
        '_routes',
        '_services',
        '_stale_after_s',
        '_stamp',
        '_stamp_issued_at',
    )

    def __init__(
        self,
        configuration: Configuration,
        stale_after_s: float = float('inf'),
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """Create a view whose configuration no stamp has confirmed yet."""
        self._stale_after_s = stale_after_s
        self._clock = clock
        self._configuration = configuration
        self._services = resolve_services(configuration)
        self._routes = RouteTable(configuration.plan.routes.values())
        self._keys = KeyTable(configuration.plan.teams.values())
        self._received_at = clock()
        self._stamp = Stamp()
        self._highest_known_revision = configuration.revision
        self._stamp_issued_at = _NEVER
        self._confirmed_at = _NEVER
        self._reported_low_revision = -1
        self._newer_stamps: Subject[Stamp] = Subject()
        self._configurations: BehaviorSubject[Configuration] = BehaviorSubject(
            configuration,
        )

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    @property
    def services(self) -> dict[str, Service]:
        """Services by name."""
        return self._services

    @property
    def keys(self) -> KeyTable:
        """Keys of the teams in the route plan in force."""
        return self._keys

    @property
    def routes(self) -> RouteTable:
        """Lookup table of the routes in the plan."""
        return self._routes

    @property
    def changes(self) -> Observable[Configuration]:
        """Stream of configurations that starts with the one in force."""
        return self._configurations

    @property
    def newer_stamps(self) -> Observable[Stamp]:
        """Stream of stamps with a greater revision than the one in force."""
        return self._newer_stamps

    @property
    def stamp(self) -> Stamp:
        """Newest known stamp with its present age, infinite without a stamp."""
        stamp_age_ms = (self._clock() - self._stamp_issued_at) * MS_PER_S
        stamp = self._stamp
        return Stamp(stamp.term, stamp.revision, stamp.round, stamp_age_ms)

    @property
    def is_behind(self) -> bool:
        """Whether a greater revision than the one in force is known."""
        return self._highest_known_revision > self._configuration.revision

    @property
    def age_s(self) -> float:
        """Seconds since the configuration was last confirmed to be current."""
        return self._clock() - self._confirmed_at

    @property
    def is_current(self) -> bool:
        """Whether the age is at most the limit `stale_after_s`."""
        return self.age_s <= self._stale_after_s

    def now(self) -> float:
        """Return the time in seconds of the clock that measures ages."""
        return self._clock()

    def update_if_newer(self, configuration: Configuration) -> bool:
        """Put a newer configuration in force; return whether it was newer."""
        if configuration.revision <= self._configuration.revision:
            return False
        self._services = resolve_services(configuration)
        if configuration.plan is not self._configuration.plan:
            self._routes = RouteTable(configuration.plan.routes.values())
            self._keys = KeyTable(configuration.plan.teams.values())
        self._configuration = configuration
        self._received_at = self._clock()
        if configuration.revision >= self._stamp.revision:
            self._confirmed_at = self._stamp_issued_at
        self._configurations.on_next(configuration)
        return True

    def accept_stamp(self, stamp: Stamp) -> bool:
        """Accept a stamp if it is newer; return whether it was accepted.

        The same stamp with a smaller age counts as newer. A stamp with a
        lower revision than the one in force is accepted only if it was issued
        before that revision was received, and if its revision is not below
        that of the last stamp. Otherwise it is rejected: if it belongs to a
        later round, the control hosts have lost accepted changes.
        """
        if not stamp.is_valid:
            return False
        self._publish_newer_revision(stamp)
        if stamp.order < self._stamp.order:
            return False
        issued_at = self._clock() - stamp.age_ms / MS_PER_S
        if issued_at <= self._stamp_issued_at:
            return False
        if self._has_too_low_revision(stamp, issued_at):
            return False
        self._stamp = stamp
        self._stamp_issued_at = issued_at
        if stamp.revision <= self._configuration.revision:
            self._confirmed_at = issued_at
        return True

    def key_retention_s(self, service: str) -> float:
        """Return a service's retention time of idempotency keys, in seconds."""
        known = self._services.get(service)
        parameters = Parameters() if known is None else known.parameters
        return parameters.key_retention_s

    def is_taken_out(self, data_centre: str, target: str) -> bool:
        """Whether a target, or its data centre, is taken out."""
        configuration = self._configuration
        return (
            data_centre in configuration.data_centres_out
            or target in configuration.targets_out
        )

    def _publish_newer_revision(self, stamp: Stamp) -> None:
        """Publish a stamp whose revision is greater than any known so far.

        Stamps that `accept_stamp` rejects as older are considered too.
        """
        if stamp.revision > self._highest_known_revision:
            self._highest_known_revision = stamp.revision
            if self.is_behind:
                self._newer_stamps.on_next(stamp)

    def _has_too_low_revision(self, stamp: Stamp, issued_at: float) -> bool:
        """Whether the revision of a stamp is too low for the stamp's age.

        Logs an error if a later round names such a revision, as the control
        hosts have then lost accepted changes.
        """
        current_revision = self._configuration.revision
        if stamp.revision >= max(current_revision, self._stamp.revision):
            return False
        is_older = issued_at <= self._received_at
        if is_older and stamp.revision >= self._stamp.revision:
            return False
        is_new = stamp.order > self._stamp.order
        if is_new and self._reported_low_revision != stamp.revision:
            self._reported_low_revision = stamp.revision
            log.error(
                'The control hosts report revision {}, which is lower than '
                'an earlier one; revision {} stays in force.',
                stamp.revision,
                current_revision,
            )
        return True
