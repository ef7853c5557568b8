"""The last configuration of a node, across restarts and damage."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as some

from lycheespar.configuration.model import Configuration
from lycheespar.control.saved import SavedConfiguration

SAVED = Configuration(7, data_centres_out=frozenset({'ijmuiden'}))


def test_what_was_saved_last_is_loaded(tmp_path):
    saved = SavedConfiguration(tmp_path / 'data')
    saved.save(Configuration(6))
    saved.save(SAVED)
    assert SavedConfiguration(tmp_path / 'data').load() == SAVED


def test_nothing_saved_is_the_empty_configuration(tmp_path):
    assert SavedConfiguration(tmp_path).load() == Configuration()


def test_a_torn_write_leaves_what_was_saved_before(tmp_path):
    saved = SavedConfiguration(tmp_path)
    saved.save(SAVED)
    (tmp_path / 'configuration.partial').write_bytes(b'torn')
    assert saved.load() == SAVED


@given(some.integers(0, 10_000), some.integers(0, 7))
def test_a_flipped_bit_is_found(tmp_path_factory, position, bit):
    folder = tmp_path_factory.mktemp('saved')
    saved = SavedConfiguration(folder)
    saved.save(SAVED)
    path = folder / 'configuration.bin'
    content = bytearray(path.read_bytes())
    content[position % len(content)] ^= 1 << bit
    path.write_bytes(content)
    assert saved.load() == Configuration()


def test_a_file_that_cannot_be_written_is_an_error(tmp_path):
    saved = SavedConfiguration(tmp_path)
    (tmp_path / 'configuration.partial').mkdir()
    with pytest.raises(OSError, match='directory'):
        saved.save(SAVED)
