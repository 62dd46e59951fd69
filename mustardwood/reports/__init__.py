"""Reports on the burn of the error budgets of service levels."""

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
from mustardwood.reports.collection_schedule import CollectionSchedule
from mustardwood.reports.collection_schedule import make_hour_rule
from mustardwood.reports.collection_schedule import make_minute_rule
from mustardwood.reports.collection_schedule import rank_collectors
from mustardwood.reports.collection_schedule import ScheduleRule
from mustardwood.reports.level_histogram import LevelHistogram
from mustardwood.reports.level_record import decode_record
from mustardwood.reports.level_record import encode_record
from mustardwood.reports.level_record import LevelRecord
from mustardwood.reports.level_row import LevelRow
from mustardwood.reports.merging import add_rows
from mustardwood.reports.merging import encode_histogram
from mustardwood.reports.merging import HIGHEST_MILLISECONDS
from mustardwood.reports.merging import LOWEST_MILLISECONDS
from mustardwood.reports.merging import make_histogram
from mustardwood.reports.merging import merge_records
from mustardwood.reports.minute_filter import filter_by_range
from mustardwood.reports.minute_filter import filter_minutes
from mustardwood.reports.minute_range import MinuteRange
from mustardwood.reports.minute_range import parse_range

__all__ = [
    "ALERT_RULES",
    "AlertRule",
    "BurnReport",
    "BurnWindow",
    "CollectionSchedule",
    "EndpointCost",
    "GroupBurn",
    "HIGHEST_MILLISECONDS",
    "LOWEST_MILLISECONDS",
    "LevelHistogram",
    "LevelRecord",
    "LevelRow",
    "MinuteRange",
    "ScheduleRule",
    "TimelinePoint",
    "WINDOW_MINUTES",
    "add_rows",
    "compute_minute",
    "compute_report",
    "compute_window",
    "decode_record",
    "encode_histogram",
    "encode_record",
    "filter_by_range",
    "filter_minutes",
    "find_alert",
    "make_histogram",
    "make_hour_rule",
    "make_minute_rule",
    "merge_records",
    "parse_range",
    "rank_collectors",
]
