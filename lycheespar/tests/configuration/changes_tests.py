"""Tests of the validation of changes."""

from __future__ import annotations

from lycheespar.configuration.changes import (
    MAX_KEY_RETENTION_S,
    PutTemplate,
    find_change_problems,
)
from lycheespar.configuration.model import (
    Configuration,
    Parameters,
    Template,
)


def _problems(retention_s: float) -> tuple[str, ...]:
    template = Template(
        'records',
        parameters=Parameters(key_retention_s=retention_s),
    )
    return find_change_problems(Configuration(), PutTemplate(template))


def test_key_retention_above_the_maximum_is_refused():
    # The maximum is also the longest time for which a claim on a key is kept.
    assert not _problems(MAX_KEY_RETENTION_S)
    (problem,) = _problems(MAX_KEY_RETENTION_S + 1)
    assert problem.startswith('parameters.key_retention_s: ')
