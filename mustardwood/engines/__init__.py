"""HTTP client for endpoints, which are model engines and plain services."""

from mustardwood.engines.endpoint_client import EndpointClient
from mustardwood.engines.endpoint_client import Exchange
from mustardwood.engines.endpoint_client import ResponseReceiver
from mustardwood.engines.http_client import HttpClient

__all__ = ["EndpointClient", "Exchange", "HttpClient", "ResponseReceiver"]
