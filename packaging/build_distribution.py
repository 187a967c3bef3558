"""Builds the product as one executable file, without the network.

The product libraries come from the workspace, third-party packages from the environment that
runs this script. Nothing is installed into that environment.

    python packaging/build_distribution.py dist/laburnumbridge
"""

from __future__ import annotations

import argparse
import compileall
import py_compile
import shutil
import subprocess
import sys
import tempfile
from importlib.metadata import Distribution
from importlib.metadata import distribution
from pathlib import Path
from pathlib import PurePath

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

LIBRARIES_FOLDER = Path(__file__).parents[1] / "libs"
ROOT_DISTRIBUTION = "laburnumbridge-cli"
PRODUCT_PREFIX = "laburnumbridge-"
ENTRY_POINT = "laburnumbridge.cli.application:main"
INTERPRETER = "/usr/bin/env python3.11"
# hdrhistogram declares its build tools as run-time requirements; no module of it imports them.
BUILD_ONLY = frozenset({"pbr", "setuptools"})
# Type stubs and sources of native modules are not read at run time.
UNUSED_SUFFIXES = frozenset({".pyi", ".pyx", ".pxd", ".pxi", ".c", ".h", ".hash"})


def required_distributions(root: str) -> dict[str, Distribution]:
    """Return the installed distributions that ``root`` needs, itself included, by name."""
    found: dict[str, Distribution] = {}
    pending = [root]
    while pending:
        name = canonicalize_name(pending.pop())
        if name in found or name in BUILD_ONLY:
            continue
        found[name] = distribution(name)
        pending += _requirements(found[name])
    return found


def _requirements(package: Distribution) -> list[str]:
    requirements = [Requirement(line) for line in package.requires or []]
    return [
        requirement.name
        for requirement in requirements
        if requirement.marker is None or requirement.marker.evaluate({"extra": ""})
    ]


def copy_package(package: Distribution, target: Path) -> None:
    """Copy the files of an installed distribution that are read at run time."""
    for file in package.files or []:
        if ".." in file.parts or _is_unused(file):
            continue
        copied = target / file
        copied.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(Path(str(file.locate())), copied)


def _is_unused(file: PurePath) -> bool:
    return "__pycache__" in file.parts or file.suffix in UNUSED_SUFFIXES


def install_libraries(names: list[str], target: Path) -> None:
    """Build the product libraries of the workspace and unpack them into ``target``."""
    folders = [str(LIBRARIES_FOLDER / name) for name in names]
    options = ["--quiet", "--disable-pip-version-check", "--no-index", "--no-deps"]
    options += ["--no-build-isolation", "--no-compile", "--target", str(target)]
    subprocess.run([sys.executable, "-m", "pip", "install", *options, *folders], check=True)


def compile_modules(target: Path) -> None:
    """Compile all modules, so that no start compiles them or writes to the file system.

    Unchecked byte code stays valid when extraction changes the times of the sources.
    """
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    compiled = compileall.compile_dir(
        target, quiet=2, workers=1, stripdir=str(target), invalidation_mode=mode
    )
    if not compiled:
        raise SystemExit("a module does not compile")


def pack(target: Path, output: Path) -> None:
    """Pack the modules into one executable file."""
    output.parent.mkdir(parents=True, exist_ok=True)
    options = ["--site-packages", str(target), "--entry-point", ENTRY_POINT]
    options += ["--python", INTERPRETER, "--compressed", "--reproducible"]
    command = [sys.executable, "-m", "shiv", *options, "--output-file", str(output)]
    subprocess.run(command, check=True)


def build(output: Path) -> None:
    """Build the executable file ``output``."""
    packages = required_distributions(ROOT_DISTRIBUTION)
    libraries = [name for name in packages if name.startswith(PRODUCT_PREFIX)]
    with tempfile.TemporaryDirectory() as folder:
        target = Path(folder) / "site-packages"
        install_libraries([name.removeprefix(PRODUCT_PREFIX) for name in libraries], target)
        for name in sorted(packages.keys() - set(libraries)):
            copy_package(packages[name], target)
        compile_modules(target)
        pack(target, output)


def main() -> None:
    """Build the file that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("output", type=Path)
    build(parser.parse_args().output)


if __name__ == "__main__":
    main()
