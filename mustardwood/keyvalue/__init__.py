"""The interface of the platform's key-value service and its data."""

from mustardwood.keyvalue.key_value_service import KeyValueService
from mustardwood.keyvalue.lease import Lease
from mustardwood.keyvalue.stored_value import StoredValue

__all__ = ["KeyValueService", "Lease", "StoredValue"]
