"""Builds of this project out of the repository's history."""

import io
import pathlib
import subprocess
import sys
import tarfile

_ROOT = pathlib.Path(__file__).resolve().parents[3]


class BuildError(Exception):
    """A build can't be taken out of the history."""


def extract_build(commit, folder):
    """Writes the sources of a commit into a folder.

    Args:
        commit (str): The commit.
        folder (pathlib.Path): A folder that does not exist yet.

    Returns:
        The folder.

    Raises:
        BuildError: The commit is not in the history, or holds no build that
            runs with the installed packages.
    """
    archive = subprocess.run(
        ["git", "-C", str(_ROOT), "archive", commit, "mustardwood"],
        capture_output=True,
        check=False)
    if archive.returncode:
        raise BuildError(f"no build of {commit} in the history: "
                         f"{archive.stderr.decode(errors='replace').strip()}")
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as sources:
        sources.extractall(folder, filter="data")
    imported = subprocess.run(
        [sys.executable, "-c", "import mustardwood.platform.daemon"],
        cwd=folder,
        capture_output=True,
        check=False)
    if imported.returncode:
        lines = imported.stderr.decode(errors="replace").strip().splitlines()
        raise BuildError(f"the build of {commit} does not run: {lines[-1]}")
    return folder
