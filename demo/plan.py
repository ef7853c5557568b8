"""Both deployments in the sizes of today."""

from __future__ import annotations

import random

import msgspec


class RequestKind(msgspec.Struct, frozen=True):
    """One kind of request that callers send.

    Attributes
    ----------
    name : str
        Class of the request.
    service : str
        Service it goes to.
    method, path : str
        HTTP method and path.
    share : float
        Share of all requests.
    size : int
        Bytes of the answer.
    keyed : bool
        Whether it carries an idempotency key.
    """

    name: str
    service: str
    method: str
    path: str
    share: float
    size: int = 1024
    keyed: bool = False


class ServicePlan(msgspec.Struct, frozen=True):
    """One service and its targets.

    Attributes
    ----------
    name : str
        Name of the service.
    upstreams : int
        Number of targets.
    slots, connections : int
        What each target bears.
    service_ms : float
        Mean time of one request in milliseconds.
    """

    name: str
    upstreams: int
    slots: int
    connections: int
    service_ms: float = 5


class Deployment(msgspec.Struct, frozen=True):
    """One user's deployment.

    Attributes
    ----------
    team : str
        Name of the team.
    data_centres : tuple[str, ...]
        Its data centres.
    services : tuple[ServicePlan, ...]
        Its services.
    kinds : tuple[RequestKind, ...]
        What its callers send.
    between_ms, caller_ms : float
        One-way delays between data centres and to callers, milliseconds.
    leaves : str
        Data centre that is taken out and returned.
    """

    team: str
    data_centres: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    kinds: tuple[RequestKind, ...]
    between_ms: float
    caller_ms: float
    leaves: str

    def draw(self, source: random.Random) -> RequestKind:
        """Draw the kind of the next request."""
        weights = [kind.share for kind in self.kinds]
        return source.choices(self.kinds, weights)[0]


VLOTWACHT = Deployment(
    team='vlotwacht',
    data_centres=('ijmuiden', 'rotterdam', 'den-helder'),
    services=(
        ServicePlan('station-records', 6, 12, 240),
        ServicePlan('certificates', 4, 12, 240),
    ),
    kinds=(
        RequestKind('lookup', 'station-records', 'GET', '/rafts/1', 4),
        RequestKind(
            'booking', 'station-records', 'POST', '/bookings', 1, keyed=True
        ),
        RequestKind('validity', 'certificates', 'GET', '/validity/1', 3),
        RequestKind(
            'document', 'certificates', 'GET', '/documents/1', 2, 200_000
        ),
    ),
    between_ms=1,
    caller_ms=3,
    leaves='rotterdam',
)

TUVSHIN = Deployment(
    team='tuvshin',
    data_centres=(
        'ub-sukhbaatar',
        'ub-bayanzurkh',
        'ub-khan-uul',
        'ub-chingeltei',
    ),
    services=(
        ServicePlan('lending-desk', 7, 17, 260),
        ServicePlan('reading-room', 4, 17, 260),
    ),
    kinds=(
        RequestKind('catalogue', 'lending-desk', 'GET', '/catalogue/1', 5),
        RequestKind(
            'checkout', 'lending-desk', 'POST', '/checkouts', 1, keyed=True
        ),
        RequestKind('title-check', 'reading-room', 'GET', '/titles/1', 3),
        RequestKind('reading-list', 'reading-room', 'GET', '/lists/1', 2),
        RequestKind(
            'chapter', 'reading-room', 'GET', '/chapters/1', 1, 400_000
        ),
    ),
    between_ms=1,
    caller_ms=1,
    leaves='ub-khan-uul',
)

DEPLOYMENTS: dict[str, Deployment] = {
    'vlotwacht': VLOTWACHT,
    'tuvshin': TUVSHIN,
}
