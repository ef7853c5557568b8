"""Tests of what the settings switch on."""

from __future__ import annotations

import subprocess
import sys

from lycheespar.config.settings import NodeSettings
from lycheespar.telemetry.parts import Telemetry
from lycheespar.tests.config.settings_tests import NODE

_IMPORTS = """
import sys
import lycheespar.app
print([name for name in ('opentelemetry', 'statsd', 'hdrh')
       if name in sys.modules])
"""


def test_what_is_off_is_not_in_the_way():
    telemetry = Telemetry(NodeSettings.parse(NODE))
    part = object()
    assert telemetry.around_dispatch(part) is part
    assert telemetry.around_execution(part) is part


async def test_what_is_on_is_put_around(tmp_path):
    given = {'statsd': '127.0.0.1:9', 'trace_file': str(tmp_path / 'spans')}
    telemetry = Telemetry(NodeSettings.parse(NODE | given))
    part = object()
    assert telemetry.around_dispatch(part) is not part
    assert telemetry.around_execution(part) is not part
    await telemetry.stop()


def test_libraries_of_what_is_off_are_not_imported():
    done = subprocess.run(
        [sys.executable, '-c', _IMPORTS],
        capture_output=True,
        check=True,
        text=True,
    )
    assert done.stdout == '[]\n'
