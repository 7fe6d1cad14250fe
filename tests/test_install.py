"""An installation contains every package and its data, and its programs start."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# setuptools' steps without a wheel, which would need one more package
INSTALL = "import sys; from setuptools import setup; sys.argv[0] = 'setup.py'; setup()"
PROGRAMS = [  # arguments, expected output
    (["-m", "opalwick", "--help"], "serve"),
    (["-m", "opalwick.post.commands", "--help"], "opalwick post"),
    (["-m", "opalwick", "lab", "post", "--help"], "hunt"),
    (["-m", "opalwick.post", "carrier", "counter"], "OPALWICK_CONFIG names no settings file"),
    (["-m", "opalwick.post", "carrier", "depot"], "OPALWICK_CONFIG names no settings file"),
    (["-m", "opalwick.post", "postmaster"], "OPALWICK_CONFIG names no settings file"),
]


@pytest.fixture(scope="module")
def place(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Folder with an installation of the repository's files."""
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


def test_each_installed_program_starts(place: Path) -> None:
    env = {key: value for key, value in os.environ.items() if key != "OPALWICK_CONFIG"}
    env |= {"PYTHONPATH": str(place / "lib"), "TERM": "dumb"}
    started = [
        (
            expected,
            subprocess.Popen(
                [sys.executable, *arguments],
                cwd=place,
                env=env,
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            ),
        )
        for arguments, expected in PROGRAMS
    ]
    for expected, process in started:
        output, _ = process.communicate(timeout=60)
        assert expected in output


def test_no_source_uses_what_operators_machines_reject() -> None:
    """The operators' machines don't start programs that preload, trace others or share memory (DEPLOY)."""
    pattern = re.compile("/dev/" + "shm|LD_" + "PRELOAD|ptr" + "ace|shm_" + "open")
    assert not [
        path
        for path in ROOT.rglob("*.py")
        if path.parts[len(ROOT.parts)] in ("opalwick", "bench") and pattern.search(path.read_text())
    ]
