"""Decisions about requests to plain services and language models.

Nothing here does I/O: the parts take events and the time, and act through the
interfaces of `ForwardingContext`.
"""

from mustardwood.dispatch.crash_record import CrashRecord
from mustardwood.dispatch.currency_proof import CurrencyProof
from mustardwood.dispatch.endpoint import Endpoint
from mustardwood.dispatch.endpoint_directory import EndpointDirectory
from mustardwood.dispatch.endpoint_health import EndpointHealth
from mustardwood.dispatch.endpoint_load import EndpointLoad
from mustardwood.dispatch.engine_split import EngineSplit
from mustardwood.dispatch.event_splitter import EventSplitter
from mustardwood.dispatch.forwarding import Forwarding
from mustardwood.dispatch.forwarding_context import Attempt
from mustardwood.dispatch.forwarding_context import AttemptListener
from mustardwood.dispatch.forwarding_context import Caller
from mustardwood.dispatch.forwarding_context import ForwardingContext
from mustardwood.dispatch.forwarding_context import Headers
from mustardwood.dispatch.forwarding_context import Journal
from mustardwood.dispatch.forwarding_context import Metrics
from mustardwood.dispatch.forwarding_context import Scheduler
from mustardwood.dispatch.forwarding_context import Timer
from mustardwood.dispatch.general_request import GeneralRequest
from mustardwood.dispatch.load_table import LoadTable
from mustardwood.dispatch.load_table import PEER_LIFETIME
from mustardwood.dispatch.organisation import Organisation
from mustardwood.dispatch.placement import Placement
from mustardwood.dispatch.placement_settings import PlacementSettings
from mustardwood.dispatch.prefix_memory import PrefixMemory
from mustardwood.dispatch.prompt import Prompt
from mustardwood.dispatch.prompt import PromptPart
from mustardwood.dispatch.refusal import Refusal
from mustardwood.dispatch.repeat_policy import RepeatPolicy
from mustardwood.dispatch.retry_allowance import RetryAllowance
from mustardwood.dispatch.retry_budget import RetryBudget
from mustardwood.dispatch.return_time import ReturnTime
from mustardwood.dispatch.route import Route
from mustardwood.dispatch.route import Target
from mustardwood.dispatch.route_table import RouteTable
from mustardwood.dispatch.service_figures import ServiceFigures
from mustardwood.dispatch.waiting_room import WaitingRoom

__all__ = [
    "PEER_LIFETIME",
    "Attempt",
    "AttemptListener",
    "Caller",
    "CrashRecord",
    "CurrencyProof",
    "Endpoint",
    "EndpointDirectory",
    "EndpointHealth",
    "EndpointLoad",
    "EngineSplit",
    "EventSplitter",
    "Forwarding",
    "ForwardingContext",
    "GeneralRequest",
    "Headers",
    "Journal",
    "LoadTable",
    "Metrics",
    "Organisation",
    "Placement",
    "PlacementSettings",
    "PrefixMemory",
    "Prompt",
    "PromptPart",
    "Refusal",
    "RepeatPolicy",
    "RetryAllowance",
    "RetryBudget",
    "ReturnTime",
    "Route",
    "RouteTable",
    "Scheduler",
    "ServiceFigures",
    "Target",
    "Timer",
    "WaitingRoom",
]
