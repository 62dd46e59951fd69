"""Routing decisions for requests to plain services and language models.

An endpoint that runs a language model is called an engine. Nothing in this
package does I/O: its classes receive events, read an injected clock, and act
through the protocols that `ForwardingContext` holds.
"""

from mustardwood.dispatch.crash_record import CrashBlock
from mustardwood.dispatch.crash_record import CrashRecord
from mustardwood.dispatch.endpoint import Endpoint
from mustardwood.dispatch.endpoint_brittleness import EndpointBrittleness
from mustardwood.dispatch.endpoint_directory import EndpointDirectory
from mustardwood.dispatch.endpoint_health import EndpointHealth
from mustardwood.dispatch.endpoint_load import EndpointLoad
from mustardwood.dispatch.endpoint_notices import EndpointNotice
from mustardwood.dispatch.endpoint_notices import EndpointNotices
from mustardwood.dispatch.endpoint_notices import NoticeEvent
from mustardwood.dispatch.endpoint_notices import NoticeKind
from mustardwood.dispatch.endpoint_pauses import EndpointPauses
from mustardwood.dispatch.endpoint_pauses import MAX_PAUSE
from mustardwood.dispatch.endpoint_rate_limits import EndpointRateLimits
from mustardwood.dispatch.endpoint_rate_limits import RateLimitChange
from mustardwood.dispatch.endpoint_rate_limits import RateReport
from mustardwood.dispatch.endpoint_statements import EndpointStatements
from mustardwood.dispatch.engine_partition import EnginePartition
from mustardwood.dispatch.event_splitter import EventSplitter
from mustardwood.dispatch.forwarding import Forwarding
from mustardwood.dispatch.forwarding_context import Attempt
from mustardwood.dispatch.forwarding_context import AttemptListener
from mustardwood.dispatch.forwarding_context import Caller
from mustardwood.dispatch.forwarding_context import ForwardingContext
from mustardwood.dispatch.forwarding_context import Headers
from mustardwood.dispatch.forwarding_context import Journal
from mustardwood.dispatch.forwarding_context import Metrics
from mustardwood.dispatch.forwarding_context import NoRequestCounter
from mustardwood.dispatch.forwarding_context import NoResponseObserver
from mustardwood.dispatch.forwarding_context import RegistrationReader
from mustardwood.dispatch.forwarding_context import RequestCounter
from mustardwood.dispatch.forwarding_context import ResponseObserver
from mustardwood.dispatch.forwarding_context import Scheduler
from mustardwood.dispatch.forwarding_context import Timer
from mustardwood.dispatch.freshness_proof import FreshnessProof
from mustardwood.dispatch.load_table import LoadTable
from mustardwood.dispatch.load_table import PEER_REPORT_LIFETIME
from mustardwood.dispatch.organisation import Organisation
from mustardwood.dispatch.pause_statement import PauseStatement
from mustardwood.dispatch.placement import Choice
from mustardwood.dispatch.placement import Placement
from mustardwood.dispatch.placement_limit import PlacementLimit
from mustardwood.dispatch.placement_queue import PlacementQueue
from mustardwood.dispatch.placement_settings import PlacementSettings
from mustardwood.dispatch.prefix_cache_index import PrefixCacheIndex
from mustardwood.dispatch.process_exit import ProcessExit
from mustardwood.dispatch.prompt import Prompt
from mustardwood.dispatch.prompt import PromptPart
from mustardwood.dispatch.prompt_part_crashes import PartCrash
from mustardwood.dispatch.prompt_part_crashes import PartSuccess
from mustardwood.dispatch.prompt_part_crashes import PromptPartCrashes
from mustardwood.dispatch.rate_statement import RateStatement
from mustardwood.dispatch.refusal import Refusal
from mustardwood.dispatch.response_memory import ResponseMemory
from mustardwood.dispatch.retry_after_policy import RetryAfterPolicy
from mustardwood.dispatch.retry_budget import RetryBudget
from mustardwood.dispatch.retry_policy import RetryPolicy
from mustardwood.dispatch.route import Route
from mustardwood.dispatch.route import RouteTarget
from mustardwood.dispatch.route_table import RouteTable
from mustardwood.dispatch.service_parameters import ServiceParameters
from mustardwood.dispatch.service_request import ServiceRequest
from mustardwood.dispatch.service_retry_budgets import ServiceRetryBudgets
from mustardwood.dispatch.stream_journal import JournalStore
from mustardwood.dispatch.stream_journal import StreamJournal
from mustardwood.dispatch.stream_version_table import StreamVersionTable
from mustardwood.dispatch.tier_admission import TierDemand
from mustardwood.dispatch.tier_admission import TierAdmission
from mustardwood.dispatch.version_history import VersionHistory

__all__ = [
    "MAX_PAUSE",
    "PEER_REPORT_LIFETIME",
    "Attempt",
    "AttemptListener",
    "Caller",
    "Choice",
    "CrashBlock",
    "CrashRecord",
    "TierDemand",
    "Endpoint",
    "EndpointBrittleness",
    "EndpointDirectory",
    "EndpointHealth",
    "EndpointLoad",
    "EndpointNotice",
    "EndpointNotices",
    "EndpointPauses",
    "EndpointRateLimits",
    "EndpointStatements",
    "EnginePartition",
    "EventSplitter",
    "Forwarding",
    "ForwardingContext",
    "FreshnessProof",
    "Headers",
    "Journal",
    "JournalStore",
    "LoadTable",
    "Metrics",
    "NoRequestCounter",
    "NoResponseObserver",
    "NoticeEvent",
    "NoticeKind",
    "Organisation",
    "PartCrash",
    "PartSuccess",
    "PauseStatement",
    "Placement",
    "PlacementLimit",
    "PlacementQueue",
    "PlacementSettings",
    "PrefixCacheIndex",
    "ProcessExit",
    "Prompt",
    "PromptPart",
    "PromptPartCrashes",
    "RateLimitChange",
    "RateReport",
    "RequestCounter",
    "RateStatement",
    "Refusal",
    "RegistrationReader",
    "ResponseMemory",
    "ResponseObserver",
    "RetryAfterPolicy",
    "RetryBudget",
    "RetryPolicy",
    "Route",
    "RouteTable",
    "RouteTarget",
    "Scheduler",
    "ServiceParameters",
    "ServiceRequest",
    "ServiceRetryBudgets",
    "StreamJournal",
    "StreamVersionTable",
    "Timer",
    "TierAdmission",
    "VersionHistory",
]
