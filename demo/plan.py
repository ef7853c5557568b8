"""The example deployments at their present sizes."""

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
        Service that the request is sent to.
    method, path : str
        HTTP method and path.
    share : float
        Weight of this kind among all requests of the deployment.
    size : int
        Size of the answer in bytes.
    keyed : bool
        Whether the request carries an idempotency key.
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
    targets : int
        Number of targets.
    slots, connections : int
        Requests and connections that each target accepts at once.
    service_ms : float
        Mean time that a target takes for a request, in milliseconds.
    """

    name: str
    targets: int
    slots: int
    connections: int
    service_ms: float = 5


class Deployment(msgspec.Struct, frozen=True):
    """One deployment: a team, its data centres, services and traffic.

    Attributes
    ----------
    team : str
        Name of the team.
    data_centres : tuple[str, ...]
        Names of the data centres.
    services : tuple[ServicePlan, ...]
        Services of the team.
    kinds : tuple[RequestKind, ...]
        Kinds of requests that the callers send.
    inter_data_centre_ms, caller_ms : float
        One-way delay between data centres, and between callers and nodes, in
        milliseconds.
    taken_out : str
        Data centre that the demonstration takes out and returns.
    """

    team: str
    data_centres: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    kinds: tuple[RequestKind, ...]
    inter_data_centre_ms: float
    caller_ms: float
    taken_out: str

    def choose_kind(self, source: random.Random) -> RequestKind:
        """Choose the kind of the next request at random, by weight."""
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
    inter_data_centre_ms=1,
    caller_ms=3,
    taken_out='rotterdam',
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
    inter_data_centre_ms=1,
    caller_ms=1,
    taken_out='ub-khan-uul',
)

DEPLOYMENTS: dict[str, Deployment] = {
    'vlotwacht': VLOTWACHT,
    'tuvshin': TUVSHIN,
}
