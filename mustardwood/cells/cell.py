"""A cell: the endpoints that one scheduler decides for."""

import msgspec

from mustardwood import configuration


class Cell(msgspec.Struct, frozen=True):
    """Up to `MAX_ENDPOINTS_PER_CELL` endpoints of one model or service in one region.

    Attributes:
        name: Unique name, ``{serves}/{region}/{index}``.
        serves: Name of the model or service.
        region: Region.
        endpoints: Its endpoints, by name.
    """

    name: str
    serves: str
    region: str
    endpoints: tuple[configuration.Endpoint, ...]
