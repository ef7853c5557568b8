"""A short soak with a fixed seed over links that uploads fill at times."""

from __future__ import annotations

from pathlib import Path

from demo.scenario import load_scenario
from demo.soak.soak import Soak

SCENARIO = Path(__file__).parents[3] / 'examples' / 'soak' / 'slow-links.json'
LINK_BYTES_PER_S = 381_000
SECONDS = 15
SEED = 3
BAD_GATEWAY = 502


async def test_uploads_over_slow_links_survive_planned_stops(tmp_path):
    """A channel whose bytes waited on their link was taken for lost."""
    soak = Soak(load_scenario(SCENARIO), tmp_path, SEED)
    soak.use_slow_links(LINK_BYTES_PER_S)
    await soak.run(SECONDS, ['stops'], '')
    assert not soak.losses()
    assert BAD_GATEWAY not in {
        exchange.status for exchange in soak.ledger.exchanges
    }
    assert not soak.faults.exits
    assert not soak.unhandled
    assert soak.ledger.stops
