"""The service that the end-to-end tests call."""

from __future__ import annotations

from typing import Any

import aiohttp

from standins.cluster import (
    answers_with_status,
    submit_configuration_change,
    wait_until,
)

HOST = 'certificates.vlotwacht'


async def configure(
    session: aiohttp.ClientSession,
    api: str,
    routes: tuple[dict[str, Any], ...] = ({'idempotent': True},),
    **parameters: float,
) -> None:
    """Configure the service once the API answers.

    `parameters` override the defaults of the template.
    """
    await wait_until(
        lambda: answers_with_status(session, f'{api}/v1/configuration', '')
    )
    template = {'name': 'delivery', 'routes': routes}
    await submit_configuration_change(
        session, api, 'put_template', template=template
    )
    service = {'template': 'delivery', 'parameters': parameters}
    team = {'name': 'vlotwacht', 'services': {'certificates': service}}
    await submit_configuration_change(session, api, 'put_team', team=team)
