"""HTTP/1.1 server and client connections, built on Twisted and h11.

The server side receives requests from callers; the client side sends requests
to endpoints.
"""

from mustardwood.http1.body_budget import BodyBudget
from mustardwood.http1.caller_connection import CallerConnection
from mustardwood.http1.chunk_turns import ChunkTurns
from mustardwood.http1.connection_limits import ConnectionLimits
from mustardwood.http1.connection_pool import ConnectionPool
from mustardwood.http1.exchange import Exchange
from mustardwood.http1.exchange import ExchangeListener
from mustardwood.http1.http_request import Headers
from mustardwood.http1.http_request import HttpRequest
from mustardwood.http1.page_server import Page
from mustardwood.http1.page_server import PageServer
from mustardwood.http1.path import CONNECT_TIMEOUT
from mustardwood.http1.path import DirectPath
from mustardwood.http1.path import EndpointFactory
from mustardwood.http1.path import Path
from mustardwood.http1.progress_timeout import ProgressTimeout
from mustardwood.http1.reactor_scheduler import ReactorScheduler
from mustardwood.http1.request_handler import RequestHandler
from mustardwood.http1.response_writer import ResponseWriter

__all__ = [
    "BodyBudget",
    "CONNECT_TIMEOUT",
    "CallerConnection",
    "ChunkTurns",
    "ConnectionLimits",
    "ConnectionPool",
    "DirectPath",
    "EndpointFactory",
    "Exchange",
    "ExchangeListener",
    "Headers",
    "HttpRequest",
    "Page",
    "PageServer",
    "Path",
    "ProgressTimeout",
    "ReactorScheduler",
    "RequestHandler",
    "ResponseWriter",
]
