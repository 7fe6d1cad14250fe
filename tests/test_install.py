"""An installation contains every package and its data, and its programs start."""

from __future__ import annotations

import os
import re
import subprocess
import sys
import tomllib
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


class FakeMachine:
    """A copy of the build script whose `python3` tells the kind of machine, and records installations."""

    PYTHON = """#!/bin/sh
case "$2" in
    pip) echo installed >>installations; mkdir -p target/deps; "$FAIL" || touch target/deps/module ;;
    compileall) ;;
    *) echo "$KIND" ;;
esac
test "$2" != pip || ! "$FAIL"
"""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        for name in ("bin", "deploy"):
            (folder / name).mkdir()
        (folder / "deploy" / "build.sh").write_text((ROOT / "deploy" / "build.sh").read_text())
        (folder / "bin" / "python3").write_text(self.PYTHON)
        (folder / "bin" / "python3").chmod(0o755)
        self.requirements = folder / "requirements-post.txt"
        self.requirements.touch()
        os.utime(self.requirements, (1.0, 1.0))

    def build(self, kind: str, fail: bool = False) -> int:
        """The number of installations until now."""
        env = {**os.environ, "KIND": kind, "FAIL": "true" if fail else "false"}
        env["PATH"] = f"{self.folder / 'bin'}:{env['PATH']}"
        done = subprocess.run(["sh", "deploy/build.sh"], cwd=self.folder, env=env, timeout=60, check=False)
        assert (done.returncode != 0) is fail
        return len((self.folder / "installations").read_text().split())


def test_the_build_is_made_anew_for_another_kind_of_machine(tmp_path: Path) -> None:
    """Guards against compiled modules of another kind of processor or Python in a folder that was carried
    over: it went by time alone.
    """
    machine = FakeMachine(tmp_path)
    assert [machine.build(kind) for kind in ("linux-x86_64 cpython-311",) * 2] == [1, 1]
    (tmp_path / "target" / "deps" / "left-over").touch()
    assert machine.build("linux-aarch64 cpython-311") == 2
    assert not (tmp_path / "target" / "deps" / "left-over").exists()
    assert machine.build("linux-aarch64 cpython-312") == 3
    os.utime(machine.requirements)  # they have changed
    assert machine.build("linux-aarch64 cpython-312", fail=True) == 4
    assert machine.build("linux-aarch64 cpython-312") == 5


def test_the_deploy_file_names_the_build_script() -> None:
    assert tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"] == "sh deploy/build.sh"
