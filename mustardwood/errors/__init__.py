"""The exception hierarchy of mustardwood.

Every error derives from `MustardwoodError`, has a stable code, and states in
its message what to do about it.
"""

from mustardwood.errors.configuration_error import ConfigurationError
from mustardwood.errors.key_value_error import ConflictError
from mustardwood.errors.key_value_error import KeyValueError
from mustardwood.errors.key_value_error import LeaseLostError
from mustardwood.errors.key_value_error import RateLimitedError
from mustardwood.errors.key_value_error import UnavailableError
from mustardwood.errors.key_value_error import UncertainWriteError
from mustardwood.errors.link_error import LinkError
from mustardwood.errors.mustardwood_error import MustardwoodError
from mustardwood.errors.request_code import RequestCode
from mustardwood.errors.request_error import RequestError
from mustardwood.errors.run_state import RunState
from mustardwood.errors.settings_error import SettingsError

__all__ = [
    "ConfigurationError",
    "ConflictError",
    "KeyValueError",
    "LeaseLostError",
    "LinkError",
    "MustardwoodError",
    "RateLimitedError",
    "RequestCode",
    "RequestError",
    "RunState",
    "SettingsError",
    "UnavailableError",
    "UncertainWriteError",
]
