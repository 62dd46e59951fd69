"""Election of the one VM that carries out duties, and its terms."""

from mustardwood.leadership.call_outcome import CallOutcome
from mustardwood.leadership.call_result import CallResult
from mustardwood.leadership.candidate_order import CandidateOrder
from mustardwood.leadership.duty_calls import DutyCalls
from mustardwood.leadership.election_command import ElectionCommand
from mustardwood.leadership.election_command import EndLease
from mustardwood.leadership.election_command import GrantLease
from mustardwood.leadership.election_command import RenewLease
from mustardwood.leadership.election_command import WriteKey
from mustardwood.leadership.election_phase import ElectionPhase
from mustardwood.leadership.election_times import ElectionTimes
from mustardwood.leadership.election_times import MAX_CALL_TIME
from mustardwood.leadership.endpoint_order import EndpointOrder
from mustardwood.leadership.leader_election import LeaderElection
from mustardwood.leadership.leader_key import LeaderKey
from mustardwood.leadership.leadership import Leadership
from mustardwood.leadership.term import Term

__all__ = [
    "CallOutcome",
    "CallResult",
    "CandidateOrder",
    "DutyCalls",
    "ElectionCommand",
    "ElectionPhase",
    "ElectionTimes",
    "EndLease",
    "EndpointOrder",
    "GrantLease",
    "LeaderElection",
    "LeaderKey",
    "Leadership",
    "MAX_CALL_TIME",
    "RenewLease",
    "Term",
    "WriteKey",
]
