"""The union of all types of messages between processes."""

import typing

from mustardwood.messages import ask
from mustardwood.messages import attempt_report
from mustardwood.messages import configuration_pull
from mustardwood.messages import configuration_push
from mustardwood.messages import crash_report
from mustardwood.messages import grant
from mustardwood.messages import leaving_notice
from mustardwood.messages import level_handover
from mustardwood.messages import open_work
from mustardwood.messages import open_work_reply
from mustardwood.messages import ping
from mustardwood.messages import ping_ack
from mustardwood.messages import query
from mustardwood.messages import query_reply
from mustardwood.messages import refusal
from mustardwood.messages import request_block_notice
from mustardwood.messages import scheduler_timeout
from mustardwood.messages import view
from mustardwood.messages import view_ack
from mustardwood.messages import withdrawal

Message = typing.Union[
    ask.Ask,
    attempt_report.AttemptReport,
    configuration_pull.ConfigurationPull,
    configuration_push.ConfigurationPush,
    request_block_notice.RequestBlockNotice,
    grant.Grant,
    leaving_notice.LeavingNotice,
    level_handover.LevelHandover,
    open_work.OpenWork,
    open_work_reply.OpenWorkReply,
    ping.Ping,
    ping_ack.PingAck,
    query.Query,
    query_reply.QueryReply,
    refusal.Refusal,
    scheduler_timeout.SchedulerTimeout,
    crash_report.CrashReport,
    view.View,
    view_ack.ViewAck,
    withdrawal.Withdrawal,
]
