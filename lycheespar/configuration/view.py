"""The configuration that is in force at this node, and how fresh it is."""

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
    resolve,
)
from lycheespar.configuration.route_table import RouteTable
from lycheespar.configuration.stamp import MS_PER_S, Stamp, steady_time

_NEVER: Final = float('-inf')

log = logger.bind(part='configuration')


class ConfigurationView:
    """Holds the newest configuration known; never goes back.

    A stamp says that at some instant no accepted revision was greater than
    its own. The configuration held is known to have been current at the
    newest such instant whose revision it reaches.

    Parameters
    ----------
    configuration : Configuration
        Configuration to start with.
    stale_after_s : float
        Age in seconds past which the configuration is not current; infinite
        where stale configurations are served.
    clock : Callable
        Clock in seconds that never goes back.
    """

    __slots__ = (
        '_clock',
        '_configuration',
        '_confirmed_at',
        '_held_since',
        '_known_revision',
        '_news',
        '_reported',
        '_routes',
        '_services',
        '_stale_after_s',
        '_stamp',
        '_stamped_at',
        '_subject',
    )

    def __init__(
        self,
        configuration: Configuration,
        stale_after_s: float = float('inf'),
        clock: Callable[[], float] = steady_time,
    ) -> None:
        """Start unconfirmed."""
        self._stale_after_s = stale_after_s
        self._clock = clock
        self._configuration = configuration
        self._services = resolve(configuration)
        self._routes = RouteTable(configuration.plan.routes.values())
        self._held_since = clock()
        self._stamp = Stamp()
        self._known_revision = configuration.revision
        self._stamped_at = _NEVER
        self._confirmed_at = _NEVER
        self._reported = -1
        self._news: Subject[Stamp] = Subject()
        self._subject: BehaviorSubject[Configuration] = BehaviorSubject(
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
    def routes(self) -> RouteTable:
        """Routes of the plan."""
        return self._routes

    @property
    def changes(self) -> Observable[Configuration]:
        """Stream of configurations, beginning with the one in force."""
        return self._subject

    @property
    def news(self) -> Observable[Stamp]:
        """Stream of stamps that name a revision greater than the one held."""
        return self._news

    @property
    def stamp(self) -> Stamp:
        """Newest stamp known, aged to now; its age is infinite without one."""
        held_ms = (self._clock() - self._stamped_at) * MS_PER_S
        stamp = self._stamp
        return Stamp(stamp.term, stamp.revision, stamp.round, held_ms)

    @property
    def is_behind(self) -> bool:
        """Whether a greater revision than the one held is known to exist."""
        return self._known_revision > self._configuration.revision

    @property
    def age_s(self) -> float:
        """Seconds since the configuration was known to be current."""
        return self._clock() - self._confirmed_at

    @property
    def is_current(self) -> bool:
        """Whether the configuration was known to be current not long ago."""
        return self.age_s <= self._stale_after_s

    def now(self) -> float:
        """Return the present instant of the clock by which ages are told."""
        return self._clock()

    def replace(self, configuration: Configuration) -> bool:
        """Take a configuration if it is newer; say whether it was."""
        if configuration.revision <= self._configuration.revision:
            return False
        self._services = resolve(configuration)
        if configuration.plan is not self._configuration.plan:
            self._routes = RouteTable(configuration.plan.routes.values())
        self._configuration = configuration
        self._held_since = self._clock()
        if configuration.revision >= self._stamp.revision:
            self._confirmed_at = self._stamped_at
        self._subject.on_next(configuration)
        return True

    def confirm(self, stamp: Stamp) -> bool:
        """Take a stamp if it is newer; say whether it was.

        The same stamp with a smaller age is newer too. A stamp that was
        issued after the configuration held was accepted, and that names a
        lower revision, is not taken: the control hosts have gone back.
        """
        if not stamp.is_valid:
            return False
        self._hear_of(stamp)
        if stamp.order < self._stamp.order:
            return False
        issued_at = self._clock() - stamp.age_ms / MS_PER_S
        if issued_at <= self._stamped_at:
            return False
        if self._goes_back(stamp, issued_at):
            return False
        self._stamp = stamp
        self._stamped_at = issued_at
        if stamp.revision <= self._configuration.revision:
            self._confirmed_at = issued_at
        return True

    def key_retention_s(self, service: str) -> float:
        """Return the time for which a service's keys are remembered, in s."""
        found = self._services.get(service)
        parameters = Parameters() if found is None else found.parameters
        return parameters.key_retention_s

    def is_out(self, data_centre: str, target: str) -> bool:
        """Whether a target, or its data centre, is taken out."""
        configuration = self._configuration
        return (
            data_centre in configuration.data_centres_out
            or target in configuration.targets_out
        )

    def _hear_of(self, stamp: Stamp) -> None:
        """Tell of a revision that is not held; any stamp may name it."""
        if stamp.revision > self._known_revision:
            self._known_revision = stamp.revision
            if self.is_behind:
                self._news.on_next(stamp)

    def _goes_back(self, stamp: Stamp, issued_at: float) -> bool:
        held = self._configuration.revision
        if stamp.revision >= max(held, self._stamp.revision):
            return False
        is_older = issued_at <= self._held_since
        if is_older and stamp.revision >= self._stamp.revision:
            return False
        is_new = stamp.order > self._stamp.order
        if is_new and self._reported != stamp.revision:
            self._reported = stamp.revision
            log.error(
                'The control hosts have gone back to revision {}; {} is kept.',
                stamp.revision,
                held,
            )
        return True
