"""Tests of how the settings enable metrics and traces."""

from __future__ import annotations

import subprocess
import sys

from lycheespar.settings.definitions import NodeSettings
from lycheespar.telemetry.node_telemetry import Telemetry
from lycheespar.tests.settings.definitions_tests import NODE

_IMPORTS = """
import sys
import lycheespar.app
print([name for name in ('opentelemetry', 'statsd', 'hdrh')
       if name in sys.modules])
"""


def test_disabled_telemetry_returns_components_unchanged():
    telemetry = Telemetry(NodeSettings.parse(NODE))
    component = object()
    assert telemetry.wrap_dispatch(component) is component
    assert telemetry.wrap_execution(component) is component


async def test_enabled_telemetry_wraps_components(tmp_path):
    enabled = {'statsd': '127.0.0.1:9', 'trace_file': str(tmp_path / 'spans')}
    telemetry = Telemetry(NodeSettings.parse(NODE | enabled))
    component = object()
    assert telemetry.wrap_dispatch(component) is not component
    assert telemetry.wrap_execution(component) is not component
    await telemetry.stop()


def test_libraries_of_disabled_telemetry_are_not_imported():
    completed = subprocess.run(
        [sys.executable, '-c', _IMPORTS],
        capture_output=True,
        check=True,
        text=True,
    )
    assert completed.stdout == '[]\n'
