"""What an installation brings: every package, its data, and programs that start from there."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# setuptools' own steps, as pip has them taken; a wheel on the way would need one package more
INSTALL = "import sys; from setuptools import setup; sys.argv[0] = 'setup.py'; setup()"
PROGRAMS = [  # arguments, and what it says
    (["-m", "opalwick", "--help"], "serve"),
    (["-m", "opalwick.post.commands", "--help"], "opalwick post"),
    (["-m", "opalwick", "lab", "post", "--help"], "hunt"),
    (["-m", "opalwick.post", "carrier", "counter"], "OPALWICK_CONFIG names no settings file"),
    (["-m", "opalwick.post", "carrier", "depot"], "OPALWICK_CONFIG names no settings file"),
    (["-m", "opalwick.post", "postmaster"], "OPALWICK_CONFIG names no settings file"),
]


@pytest.fixture(scope="module")
def place(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The repository's files alone, installed into a folder of its own."""
    tree, to = tmp_path_factory.mktemp("tree"), tmp_path_factory.mktemp("place")
    for name in ("opalwick", "pyproject.toml", "README.md", "LICENSE"):
        os.symlink(ROOT / name, tree / name)
    for path in ROOT.glob("requirements*.txt"):
        os.symlink(path, tree / path.name)
    done = subprocess.run(
        [
            sys.executable,
            "-W",
            "ignore",
            "-c",
            INSTALL,
            "-q",
            "egg_info",
            "--egg-base",
            str(to),
            "build",
            "--build-base",
            str(to / "build"),
            "install",
            "--single-version-externally-managed",
            "--record",
            str(to / "record"),
            "--install-lib",
            str(to / "lib"),
            "--install-scripts",
            str(to / "bin"),
            "--no-compile",
        ],
        cwd=tree,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0, done.stderr
    return to


def test_every_package_and_its_data_are_installed(place: Path) -> None:
    def found(root: Path, *kinds: str) -> set[str]:
        return {str(path.relative_to(root)) for kind in kinds for path in root.glob(f"opalwick/**/{kind}")}

    assert found(place / "lib", "*.py", "*.toml") == found(ROOT, "*.py", "*.toml")
    assert (place / "bin" / "opalwick").exists()


def test_each_program_starts_from_there(place: Path) -> None:
    env = {key: value for key, value in os.environ.items() if key != "OPALWICK_CONFIG"}
    env |= {"PYTHONPATH": str(place / "lib"), "TERM": "dumb"}
    started = [
        (
            words,
            subprocess.Popen(
                [sys.executable, *arguments],
                cwd=place,
                env=env,
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            ),
        )
        for arguments, words in PROGRAMS
    ]
    for words, process in started:
        said, _ = process.communicate(timeout=60)
        assert words in said


def test_no_source_names_what_operators_machines_reject() -> None:
    """Programs that preload, trace others or share memory past the network are not started there (DEPLOY)."""
    words = re.compile("/dev/" + "shm|LD_" + "PRELOAD|ptr" + "ace|shm_" + "open")
    assert not [
        path
        for path in ROOT.rglob("*.py")
        if path.parts[len(ROOT.parts)] in ("opalwick", "bench") and words.search(path.read_text())
    ]
