"""Builds the single-file executable from the packages of the virtual environment."""

import hashlib
import os
import re
import shutil
import subprocess
import sys
from importlib.metadata import Distribution, distribution
from pathlib import Path

__all__ = ["BuildError", "build", "read_lock"]

ROOT = Path(__file__).resolve().parent.parent
LOCK_FILE = ROOT / "requirements" / "run.lock"
SITE_PACKAGES = ROOT / "build" / "site"
OUTPUT = ROOT / "dist" / "mangohatch"
ENTRY_POINT = "mangohatch.run:main"
INTERPRETER = "/usr/bin/env python3"
PIN_PATTERN = re.compile(r"^([A-Za-z0-9._-]+)==([^\s\\;]+)", re.MULTILINE)
# 1980-01-01, the earliest timestamp that a zip archive can hold.
SOURCE_DATE_EPOCH = "315532800"


class BuildError(Exception):
    """The executable can't be built from this virtual environment."""


def read_lock(text: str) -> dict[str, str]:
    """
    Parse the pinned packages of a lock file.

    :param text: content of the lock file
    :return: pinned versions by package name
    """
    return dict(PIN_PATTERN.findall(text))


def check_version(installed: Distribution, name: str, version: str) -> None:
    """
    Check that an installed package has the pinned version.

    :param installed: the installed package
    :param name: name of the package in the lock file
    :param version: the pinned version
    :raises BuildError: if the installed version differs
    """
    if installed.version != version:
        raise BuildError(
            f"{name} {installed.version} is installed, the lock pins {version}"
        )


def copy_package(installed: Distribution, target: Path) -> None:
    """
    Copy the files of an installed package, except scripts and bytecode.

    :param installed: the installed package
    :param target: destination folder
    """
    for file in installed.files or ():
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        destination = target / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(installed.locate_file(file)), destination)


def collect_packages(target: Path) -> None:
    """
    Copy mangohatch and its pinned dependencies into a folder.

    :param target: destination folder; its previous content is deleted
    :raises BuildError: if an installed version differs from the pinned one
    """
    shutil.rmtree(target, ignore_errors=True)
    for name, version in read_lock(LOCK_FILE.read_text(encoding="utf-8")).items():
        installed = distribution(name)
        check_version(installed, name, version)
        copy_package(installed, target)
    ignored = shutil.ignore_patterns("__pycache__")
    source = ROOT / "src" / "mangohatch"
    shutil.copytree(source, target / "mangohatch", ignore=ignored)


def build(output: Path = OUTPUT) -> str:
    """
    Build the executable.

    :param output: path of the executable
    :return: SHA-256 digest of the executable, in hexadecimal
    :raises BuildError: if an installed version differs from the pinned one
    """
    collect_packages(SITE_PACKAGES)
    output.parent.mkdir(parents=True, exist_ok=True)
    command = [
        str(Path(sys.executable).parent / "shiv"),
        f"--site-packages={SITE_PACKAGES}",
        f"--entry-point={ENTRY_POINT}",
        f"--python={INTERPRETER}",
        f"--output-file={output}",
        "--reproducible",
        "--compressed",
    ]
    env = dict(os.environ, SOURCE_DATE_EPOCH=SOURCE_DATE_EPOCH)
    subprocess.run(command, check=True, env=env)
    return hashlib.sha256(output.read_bytes()).hexdigest()


if __name__ == "__main__":
    digest = build()
    print(f"{OUTPUT.relative_to(ROOT)} {OUTPUT.stat().st_size} bytes sha256 {digest}")
