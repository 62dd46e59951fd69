"""Counts requests and reports them to the platform, window by window."""

from mustardwood.usage.record_read import RecordRead
from mustardwood.usage.record_write import RecordWrite
from mustardwood.usage.term_end import TermEnd
from mustardwood.usage.true_time import TrueTime
from mustardwood.usage.usage_counter import UsageCounter
from mustardwood.usage.usage_exchange import UsageExchange
from mustardwood.usage.usage_exchange import choose_keepers
from mustardwood.usage.usage_ledger import UsageLedger
from mustardwood.usage.usage_record import UsageRecord
from mustardwood.usage.usage_record import decode_record
from mustardwood.usage.usage_report import UsageReport
from mustardwood.usage.usage_reporter import Action
from mustardwood.usage.usage_reporter import UsageReporter
from mustardwood.usage.usage_windows import UsageWindows
from mustardwood.usage.window_send import WindowSend

__all__ = [
    "Action",
    "RecordRead",
    "RecordWrite",
    "TermEnd",
    "TrueTime",
    "UsageCounter",
    "UsageExchange",
    "UsageLedger",
    "UsageRecord",
    "UsageReport",
    "UsageReporter",
    "UsageWindows",
    "WindowSend",
    "choose_keepers",
    "decode_record",
]
