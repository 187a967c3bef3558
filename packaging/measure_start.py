"""Measures start time and peak memory of a command line; for a built file also the first start.

python packaging/measure_start.py dist/laburnumbridge --root FOLDER [-- check ...]
"""

from __future__ import annotations

import argparse
import os
import shutil
import statistics
import sys
import time
from dataclasses import dataclass
from pathlib import Path

RUNS = 5
KIB_PER_MIB = 1024
BYTES_PER_MIB = 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """One start: seconds until the end of the process, and its peak resident MiB."""

    elapsed_s: float
    peak_mib: float


def measure(command: list[str], environment: dict[str, str]) -> Run:
    """Run a command and discard its output; raises SystemExit if its status isn't 0."""
    before = time.perf_counter()
    output = [(os.POSIX_SPAWN_OPEN, 1, os.devnull, os.O_WRONLY, 0)]
    process = os.posix_spawn(command[0], command, environment, file_actions=output)
    _, status, usage = os.wait4(process, 0)
    elapsed_s = time.perf_counter() - before
    if status:
        raise SystemExit(f"{command} ended with status {status}")
    return Run(elapsed_s=elapsed_s, peak_mib=usage.ru_maxrss / KIB_PER_MIB)


def report(name: str, runs: list[Run]) -> None:
    """Print the median time and peak memory of the runs."""
    elapsed_s = statistics.median(run.elapsed_s for run in runs)
    peak_mib = statistics.median(run.peak_mib for run in runs)
    print(f"{name}: {elapsed_s:.2f} s, peak {peak_mib:.0f} MiB")


def measure_first_start(command: list[str], environment: dict[str, str], root: Path) -> Run:
    """Measure a start without extracted files, which extracts them."""
    shutil.rmtree(root, ignore_errors=True)
    return measure(command, environment)


def extracted_mib(root: Path) -> float:
    """Return the MiB of disk blocks that the extracted files occupy."""
    return sum(path.stat().st_blocks for path in root.rglob("*")) * 512 / BYTES_PER_MIB


def main() -> None:
    """Measure a built file and, for comparison, the environment that runs this script."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("file", type=Path)
    parser.add_argument("--root", type=Path, required=True, help="Folder to extract to.")
    parser.add_argument("arguments", nargs="*", help="Arguments of the measured command.")
    options = parser.parse_args()
    arguments = options.arguments or ["--help"]
    interpreter = os.path.realpath(sys.executable)
    built = [interpreter, "-I", "-S", str(options.file), *arguments]
    environment = {"SHIV_ROOT": str(options.root)}
    report(
        "first start", [measure_first_start(built, environment, options.root) for _ in range(RUNS)]
    )
    print(f"extracted: {extracted_mib(options.root):.0f} MiB")
    report("next starts", [measure(built, environment) for _ in range(RUNS)])
    print(f"after the next starts: {extracted_mib(options.root):.0f} MiB")
    plain = [sys.executable, "-m", "laburnumbridge.cli", *arguments]
    measure(plain, dict(os.environ))
    report("plain environment", [measure(plain, dict(os.environ)) for _ in range(RUNS)])


if __name__ == "__main__":
    main()
