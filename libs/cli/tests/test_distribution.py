from __future__ import annotations

import os
import subprocess
import sys
import zipfile
from dataclasses import dataclass
from pathlib import Path

import pytest

from laburnumbridge.cli.exit_status import ExitStatus

ROOT = Path(__file__).parents[3]
EXAMPLES = ROOT / "examples"
# The interpreter below the virtual environment; -I and -S hide everything but the standard library.
INTERPRETER = [os.path.realpath(sys.executable), "-I", "-S"]
# Prints each event by which a process starts another one, then runs the file of the command line.
WATCHED_START = """
import runpy
import sys

STARTS = {"os.exec", "os.fork", "os.forkpty", "os.posix_spawn", "os.spawn", "subprocess.Popen"}
sys.argv = sys.argv[1:]
sys.addaudithook(lambda event, _: print(event, file=sys.stderr) if event in STARTS else None)
runpy.run_path(sys.argv[0], run_name="__main__")
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class BuiltFile:
    """The built file and the folder that it extracts to."""

    path: Path
    extracted: Path

    def run(
        self, *arguments: str, before: tuple[str, ...] = ()
    ) -> subprocess.CompletedProcess[str]:
        command = [*INTERPRETER, *before, str(self.path), *arguments]
        return subprocess.run(
            command,
            env={"SHIV_ROOT": str(self.extracted)},
            cwd="/",
            capture_output=True,
            text=True,
            check=False,
        )

    def check(self, user: str, *, before: tuple[str, ...] = ()) -> subprocess.CompletedProcess[str]:
        names = ("services", "guests", "plans", "vms")
        options = [f"--{name}={EXAMPLES / user / name}.json" for name in names]
        return self.run("check", *options, before=before)


@pytest.fixture(scope="session")
def built_file(tmp_path_factory: pytest.TempPathFactory) -> BuiltFile:
    folder = tmp_path_factory.mktemp("distribution")
    path = folder / "laburnumbridge"
    script = ROOT / "packaging" / "build_distribution.py"
    subprocess.run([sys.executable, str(script), str(path)], check=True)
    return BuiltFile(path=path, extracted=folder / "extracted")


def _files(folder: Path) -> dict[Path, int]:
    return {path: path.stat().st_mtime_ns for path in folder.rglob("*") if path.is_file()}


class TestBuiltFile:
    def test_help_lists_the_processes(self, built_file: BuiltFile) -> None:
        # Guards against a module or package that only the developer's environment has.
        done = built_file.run("--help")
        assert (done.returncode, done.stderr) == (0, "")
        for command in ("balancer", "agent", "check"):
            assert f"\n  {command} " in done.stdout

    @pytest.mark.parametrize("user", ["chiemgau", "swan-coast"])
    def test_check_accepts_the_examples(self, built_file: BuiltFile, user: str) -> None:
        done = built_file.check(user)
        assert (done.returncode, done.stdout, done.stderr) == (0, "0 errors, 0 warnings\n", "")

    @pytest.mark.parametrize("role", ["balancer", "agent"])
    def test_processes_reject_invalid_settings(
        self, built_file: BuiltFile, tmp_path: Path, role: str
    ) -> None:
        # Guards against a process whose modules don't load from the extracted files.
        settings = tmp_path / "settings.json"
        settings.write_text("{}")
        done = built_file.run(role, str(settings))
        assert done.returncode == ExitStatus.INVALID_INPUT
        assert done.stderr.startswith(f"error: settings {settings} are not valid: settings.name: ")

    def test_start_runs_no_other_process(self, built_file: BuiltFile) -> None:
        # Guards against a start-up that forks, which the platform's VMs rule out.
        done = built_file.check("chiemgau", before=("-c", WATCHED_START))
        assert (done.returncode, done.stderr) == (0, "")

    def test_second_start_writes_nothing(self, built_file: BuiltFile) -> None:
        # Guards against byte code or another extraction that fills the memory file system.
        built_file.check("chiemgau")
        before = _files(built_file.extracted)
        built_file.check("chiemgau")
        built_file.run("--help")
        assert _files(built_file.extracted) == before

    def test_stand_ins_are_not_shipped(self, built_file: BuiltFile) -> None:
        names = zipfile.ZipFile(built_file.path).namelist()
        assert any("laburnumbridge/runtime/" in name for name in names)
        assert [name for name in names if "standins" in name] == []

    def test_watched_start_reports_a_process(self) -> None:
        # Guards against the check above passing because its hook sees nothing.
        script = "import os; os.posix_spawn('/bin/true', ['true'], {})"
        hook = WATCHED_START.replace('runpy.run_path(sys.argv[0], run_name="__main__")', script)
        command = [*INTERPRETER, "-c", hook, "unused"]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        assert done.stderr == "os.posix_spawn\n"
