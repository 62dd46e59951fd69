"""Reports on service-level burn."""

from mustardwood.reports.alert import ALERT_RULES
from mustardwood.reports.alert import AlertRule
from mustardwood.reports.alert import find_alert
from mustardwood.reports.burn import compute_minute
from mustardwood.reports.burn import compute_report
from mustardwood.reports.burn import WINDOW_MINUTES
from mustardwood.reports.burn_report import BurnReport
from mustardwood.reports.burn_report import EndpointCost
from mustardwood.reports.burn_report import GroupBurn
from mustardwood.reports.burn_report import TimelinePoint
from mustardwood.reports.burn_window import BurnWindow
from mustardwood.reports.burn_window import compute_window
from mustardwood.reports.level_histogram import LevelHistogram
from mustardwood.reports.level_record import decode_record
from mustardwood.reports.level_record import encode_record
from mustardwood.reports.level_record import LevelRecord
from mustardwood.reports.level_row import LevelRow
from mustardwood.reports.merging import encode_histogram
from mustardwood.reports.merging import make_histogram
from mustardwood.reports.merging import merge_records

__all__ = [
    "ALERT_RULES",
    "AlertRule",
    "BurnReport",
    "BurnWindow",
    "EndpointCost",
    "GroupBurn",
    "LevelHistogram",
    "LevelRecord",
    "LevelRow",
    "TimelinePoint",
    "WINDOW_MINUTES",
    "compute_minute",
    "compute_report",
    "compute_window",
    "decode_record",
    "encode_histogram",
    "encode_record",
    "find_alert",
    "make_histogram",
    "merge_records",
]
