"""An HTTP service other than a model."""

import msgspec


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An HTTP service whose requests are forwarded unchanged.

    Attributes:
        name: Name in the paths of requests, ``/services/{name}/...``.
        idempotent_methods: HTTP methods that may be sent more than once.
        default_class: Name of the class of its requests for which no rule or
            header determines another one.
    """

    name: str
    default_class: str
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
