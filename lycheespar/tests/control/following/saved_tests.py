"""Saved configuration of a node: restarts and damaged files."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheespar.configuration.model import Configuration
from lycheespar.control.following.saved import SavedConfiguration

SAVED = Configuration(7, data_centres_out=frozenset({'ijmuiden'}))


def test_last_saved_configuration_is_loaded(tmp_path):
    saved = SavedConfiguration(tmp_path / 'data')
    saved.save(Configuration(6))
    saved.save(SAVED)
    assert SavedConfiguration(tmp_path / 'data').load() == SAVED


def test_missing_file_gives_the_empty_configuration(tmp_path):
    assert SavedConfiguration(tmp_path).load() == Configuration()


def test_torn_write_keeps_the_former_configuration(tmp_path):
    saved = SavedConfiguration(tmp_path)
    saved.save(SAVED)
    (tmp_path / 'configuration.partial').write_bytes(b'torn')
    assert saved.load() == SAVED


@given(st.integers(0, 10_000), st.integers(0, 7))
def test_flipped_bit_gives_the_empty_configuration(
    tmp_path_factory, position, bit
):
    folder = tmp_path_factory.mktemp('saved')
    saved = SavedConfiguration(folder)
    saved.save(SAVED)
    path = folder / 'configuration.bin'
    content = bytearray(path.read_bytes())
    content[position % len(content)] ^= 1 << bit
    path.write_bytes(content)
    assert saved.load() == Configuration()


def test_failed_write_raises_an_error(tmp_path):
    saved = SavedConfiguration(tmp_path)
    (tmp_path / 'configuration.partial').mkdir()
    with pytest.raises(OSError, match='directory'):
        saved.save(SAVED)
