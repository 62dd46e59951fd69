"""Settings of the processes, read from JSON files with comments."""

from mustardwood.settings.reader import read_settings
from mustardwood.settings.settings import Settings
from mustardwood.settings.tls_files import TlsFiles

__all__ = ["Settings", "TlsFiles", "read_settings"]
