"""A plain service beside the model engines."""

import msgspec


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An HTTP service whose calls are routed as they are.

    Attributes:
        name: Name in callers' paths, ``/services/{name}/...``.
        idempotent_methods: HTTP methods that may be sent more than once.
        default_class: Class of its requests where no rule or header says
            otherwise.
    """

    name: str
    default_class: str
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
