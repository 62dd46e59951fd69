"""Clients of endpoints: model engines and plain services."""

from mustardwood.engines.endpoint_client import AnswerReceiver
from mustardwood.engines.endpoint_client import EndpointClient
from mustardwood.engines.endpoint_client import Exchange
from mustardwood.engines.http_client import HttpClient

__all__ = ["AnswerReceiver", "EndpointClient", "Exchange", "HttpClient"]
