"""HTTP/1.1 connections with callers and endpoints, on Twisted and h11."""

from mustardwood.http1.answer_channel import AnswerChannel
from mustardwood.http1.caller_connection import CallerConnection
from mustardwood.http1.caller_service import CallerService
from mustardwood.http1.connection_limits import ConnectionLimits
from mustardwood.http1.connection_pool import ConnectionPool
from mustardwood.http1.exchange import Exchange
from mustardwood.http1.exchange import ExchangeListener
from mustardwood.http1.message import Headers
from mustardwood.http1.message import Message
from mustardwood.http1.page_server import Page
from mustardwood.http1.page_server import PageServer
from mustardwood.http1.reactor_scheduler import ReactorScheduler

__all__ = [
    "AnswerChannel",
    "CallerConnection",
    "CallerService",
    "ConnectionLimits",
    "ConnectionPool",
    "Exchange",
    "ExchangeListener",
    "Headers",
    "Message",
    "Page",
    "PageServer",
    "ReactorScheduler",
]
