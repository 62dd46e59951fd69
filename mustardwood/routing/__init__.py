"""Routing logic of an entry process; it does no I/O.

The `Router` handles events, such as a caller's request or a scheduler's grant,
and returns commands that the entry process carries out.
"""

from mustardwood.routing.attempt_end import AttemptEnd
from mustardwood.routing.caller_request import CallerRequest
from mustardwood.routing.classifier import check_idempotency_key
from mustardwood.routing.classifier import Classifier
from mustardwood.routing.commands import AcquireClaim
from mustardwood.routing.commands import CancelAttempt
from mustardwood.routing.commands import Command
from mustardwood.routing.commands import CompleteClaim
from mustardwood.routing.commands import EndStream
from mustardwood.routing.commands import MarkClaimUnknown
from mustardwood.routing.commands import ReleaseClaim
from mustardwood.routing.commands import SendError
from mustardwood.routing.commands import SendMessage
from mustardwood.routing.commands import SendResponse
from mustardwood.routing.commands import SendStreamData
from mustardwood.routing.commands import StartAttempt
from mustardwood.routing.completion_body import compute_fingerprint
from mustardwood.routing.completion_body import MAX_REQUEST_BODY_BYTES
from mustardwood.routing.completion_body import parse_completion
from mustardwood.routing.endpoint_selector import EndpointSelector
from mustardwood.routing.endpoint_selector import LeastLoadedSelector
from mustardwood.routing.request_kind import RequestKind
from mustardwood.routing.request_metrics import NoMetrics
from mustardwood.routing.request_metrics import RequestMetrics
from mustardwood.routing.request_phase import RequestPhase
from mustardwood.routing.router import Router
from mustardwood.routing.service_level_recorder import ServiceLevelRecorder

__all__ = [
    "MAX_REQUEST_BODY_BYTES",
    "AcquireClaim",
    "AttemptEnd",
    "CallerRequest",
    "CancelAttempt",
    "Classifier",
    "Command",
    "CompleteClaim",
    "EndStream",
    "EndpointSelector",
    "LeastLoadedSelector",
    "MarkClaimUnknown",
    "NoMetrics",
    "ReleaseClaim",
    "RequestKind",
    "RequestMetrics",
    "RequestPhase",
    "Router",
    "SendError",
    "SendMessage",
    "SendResponse",
    "SendStreamData",
    "ServiceLevelRecorder",
    "StartAttempt",
    "check_idempotency_key",
    "compute_fingerprint",
    "parse_completion",
]
