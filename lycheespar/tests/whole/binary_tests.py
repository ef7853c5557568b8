"""The one-file program: serves without the repository, as one process."""

from __future__ import annotations

import os
import subprocess
from pathlib import Path

import aiohttp
import psutil
import pytest

from lycheespar.tests.whole.service import HOST, configure
from standins.cluster import Cluster, answers, wait_until

PROGRAM = Path(__file__).parents[3] / 'dist' / 'lycheespar'

pytestmark = pytest.mark.binary


@pytest.fixture
def unpack_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Unpack into a folder of the test's own."""
    folder = tmp_path / 'unpacked'
    monkeypatch.setenv('LYCHEESPAR_UNPACK_FOLDER', str(folder))
    return folder


@pytest.fixture
def cluster(tmp_path: Path, unpack_folder: Path):
    """Run a node and its control hosts from the program."""
    planned = Cluster(tmp_path)
    planned.program = (str(PROGRAM),)
    node = planned.add_node('node-1', 'ijmuiden')
    planned.add_target(node, team='vlotwacht', service='certificates')
    planned.start()
    yield planned
    planned.stop()


async def test_the_program_serves_as_one_process_each(cluster):
    async with aiohttp.ClientSession() as session:
        await configure(session, cluster.api)
        url = f'{cluster.nodes["node-1"].url}/a'
        await wait_until(lambda: answers(session, url, HOST))
    for name in ('node-1', *cluster.control_peers):
        process = psutil.Process(cluster.processes[name].pid)
        assert not process.children(recursive=True)
        assert 'unpacked' in process.exe()


def test_the_program_runs_with_an_empty_environment(unpack_folder):
    folder = str(unpack_folder)
    done = subprocess.run(
        [PROGRAM, 'version'],
        env={'LYCHEESPAR_UNPACK_FOLDER': folder},
        cwd='/',
        capture_output=True,
        check=True,
        text=True,
    )
    assert done.stdout


def test_a_folder_that_others_may_write_to_is_refused(unpack_folder):
    unpack_folder.mkdir()
    os.chmod(unpack_folder, 0o777)
    done = subprocess.run(
        [PROGRAM, 'version'],
        capture_output=True,
        check=False,
        text=True,
    )
    assert done.returncode == 70
    assert 'others may write' in done.stderr


def test_an_unpacked_folder_is_used_again(unpack_folder):
    command = [PROGRAM, 'version']
    subprocess.run(command, check=True, capture_output=True)
    (unpacked,) = unpack_folder.iterdir()
    made_at = unpacked.stat().st_ctime_ns
    subprocess.run(command, check=True, capture_output=True)
    assert [found.stat().st_ctime_ns for found in unpack_folder.iterdir()] == [
        made_at,
    ]
