"""A group of endpoints that one scheduler manages."""

import msgspec

from mustardwood import configuration


class Cell(msgspec.Struct, frozen=True):
    """A group of endpoints of one model or service in one region.

    It holds at most `MAX_ENDPOINTS_PER_CELL` endpoints.

    Attributes:
        name: Unique name, ``{serves}/{region}/{index}``.
        serves: Name of the model or service.
        region: Region of the endpoints.
        endpoints: The endpoints, sorted by name.
    """

    name: str
    serves: str
    region: str
    endpoints: tuple[configuration.Endpoint, ...]
