"""The decisions of an entry about its requests, without any I/O."""

from mustardwood.routing.attempt_end import AttemptEnd
from mustardwood.routing.caller_request import CallerRequest
from mustardwood.routing.classifier import check_idempotency_key
from mustardwood.routing.classifier import Classifier
from mustardwood.routing.commands import AcquireClaim
from mustardwood.routing.commands import CancelAttempt
from mustardwood.routing.commands import Command
from mustardwood.routing.commands import CompleteClaim
from mustardwood.routing.commands import MarkClaimUnknown
from mustardwood.routing.commands import PassAnswer
from mustardwood.routing.commands import PassData
from mustardwood.routing.commands import PassEnd
from mustardwood.routing.commands import PassError
from mustardwood.routing.commands import ReleaseClaim
from mustardwood.routing.commands import SendMessage
from mustardwood.routing.commands import StartAttempt
from mustardwood.routing.completion_body import BODY_LIMIT
from mustardwood.routing.completion_body import compute_fingerprint
from mustardwood.routing.completion_body import parse_completion
from mustardwood.routing.local_grants import LeastRunningGrants
from mustardwood.routing.local_grants import LocalGrants
from mustardwood.routing.request_kind import RequestKind
from mustardwood.routing.request_metrics import NoMetrics
from mustardwood.routing.request_metrics import RequestMetrics
from mustardwood.routing.request_phase import RequestPhase
from mustardwood.routing.router import Router
from mustardwood.routing.service_level_recorder import ServiceLevelRecorder

__all__ = [
    "BODY_LIMIT",
    "AcquireClaim",
    "AttemptEnd",
    "CallerRequest",
    "CancelAttempt",
    "Classifier",
    "Command",
    "CompleteClaim",
    "LeastRunningGrants",
    "LocalGrants",
    "MarkClaimUnknown",
    "NoMetrics",
    "PassAnswer",
    "PassData",
    "PassEnd",
    "PassError",
    "ReleaseClaim",
    "RequestKind",
    "RequestMetrics",
    "RequestPhase",
    "Router",
    "SendMessage",
    "ServiceLevelRecorder",
    "StartAttempt",
    "check_idempotency_key",
    "compute_fingerprint",
    "parse_completion",
]
