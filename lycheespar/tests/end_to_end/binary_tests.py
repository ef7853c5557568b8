"""The single-file executable, run without the source tree."""

from __future__ import annotations

import os
import subprocess
from pathlib import Path

import aiohttp
import psutil
import pytest

from lycheespar.tests.end_to_end.service import HOST, configure
from standins.cluster import Cluster, answers_with_status, wait_until

PROGRAM = Path(__file__).parents[3] / 'dist' / 'lycheespar'

pytestmark = pytest.mark.binary


@pytest.fixture
def unpack_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Let the executable unpack itself into a folder of the test."""
    folder = tmp_path / 'unpacked'
    monkeypatch.setenv('LYCHEESPAR_UNPACK_FOLDER', str(folder))
    return folder


@pytest.fixture
def cluster(tmp_path: Path, unpack_folder: Path):
    """Run control hosts and a node from the executable, and a target."""
    planned = Cluster(tmp_path)
    planned.program = (str(PROGRAM),)
    node = planned.add_node('node-1', 'ijmuiden')
    planned.add_target(node, team='vlotwacht', service='certificates')
    planned.start()
    yield planned
    planned.stop()


async def test_each_program_runs_as_a_single_process(cluster):
    async with aiohttp.ClientSession() as session:
        await configure(session, cluster.api)
        url = f'{cluster.nodes["node-1"].url}/a'
        await wait_until(lambda: answers_with_status(session, url, HOST))
    for name in ('node-1', *cluster.control_peers):
        process = psutil.Process(cluster.processes[name].pid)
        assert not process.children(recursive=True)
        assert 'unpacked' in process.exe()


def test_the_program_runs_with_an_empty_environment(unpack_folder):
    folder = str(unpack_folder)
    completed = subprocess.run(
        [PROGRAM, 'version'],
        env={'LYCHEESPAR_UNPACK_FOLDER': folder},
        cwd='/',
        capture_output=True,
        check=True,
        text=True,
    )
    assert completed.stdout


def test_an_unpack_folder_writable_by_others_is_refused(unpack_folder):
    unpack_folder.mkdir()
    os.chmod(unpack_folder, 0o777)
    completed = subprocess.run(
        [PROGRAM, 'version'],
        capture_output=True,
        check=False,
        text=True,
    )
    assert completed.returncode == 70
    assert 'others may write' in completed.stderr


def test_a_second_start_reuses_the_unpacked_files(unpack_folder):
    command = [PROGRAM, 'version']
    subprocess.run(command, check=True, capture_output=True)
    (unpacked,) = unpack_folder.iterdir()
    unpacked_at_ns = unpacked.stat().st_ctime_ns
    subprocess.run(command, check=True, capture_output=True)
    assert [found.stat().st_ctime_ns for found in unpack_folder.iterdir()] == [
        unpacked_at_ns,
    ]
