"""Messages between the agents, schedulers and entries of the fleet."""

from mustardwood.messages.addressed_message import AddressedMessage
from mustardwood.messages.ask import Ask
from mustardwood.messages.attempt_report import AttemptReport
from mustardwood.messages.configuration_pull import ConfigurationPull
from mustardwood.messages.configuration_push import ConfigurationPush
from mustardwood.messages.crash_report import CrashReport
from mustardwood.messages.envelope import Envelope
from mustardwood.messages.envelope import decode_envelope
from mustardwood.messages.envelope import encode_envelope
from mustardwood.messages.grant import Grant
from mustardwood.messages.leaving_notice import LeavingNotice
from mustardwood.messages.level_handover import LevelHandover
from mustardwood.messages.member import Member
from mustardwood.messages.member_state import MemberState
from mustardwood.messages.open_work import OpenWork
from mustardwood.messages.open_work_reply import OpenWorkReply
from mustardwood.messages.outcome import Outcome
from mustardwood.messages.peer import Peer
from mustardwood.messages.ping import Ping
from mustardwood.messages.ping_ack import PingAck
from mustardwood.messages.query import Query
from mustardwood.messages.query import QueryKind
from mustardwood.messages.query_reply import QueryReply
from mustardwood.messages.refusal import Refusal
from mustardwood.messages.refusal_reason import RefusalReason
from mustardwood.messages.request_block import RequestBlock
from mustardwood.messages.request_block_notice import RequestBlockNotice
from mustardwood.messages.role import Role
from mustardwood.messages.running_attempt import RunningAttempt
from mustardwood.messages.scheduler_timeout import SchedulerTimeout
from mustardwood.messages.union import Message
from mustardwood.messages.view import View
from mustardwood.messages.view_ack import ViewAck
from mustardwood.messages.withdrawal import Withdrawal

__all__ = [
    "AddressedMessage",
    "Ask",
    "AttemptReport",
    "ConfigurationPull",
    "ConfigurationPush",
    "CrashReport",
    "Envelope",
    "Grant",
    "LeavingNotice",
    "LevelHandover",
    "Member",
    "MemberState",
    "Message",
    "OpenWork",
    "OpenWorkReply",
    "Outcome",
    "Peer",
    "Ping",
    "PingAck",
    "Query",
    "QueryKind",
    "QueryReply",
    "Refusal",
    "RefusalReason",
    "RequestBlock",
    "RequestBlockNotice",
    "Role",
    "RunningAttempt",
    "SchedulerTimeout",
    "View",
    "ViewAck",
    "Withdrawal",
    "decode_envelope",
    "encode_envelope",
]
