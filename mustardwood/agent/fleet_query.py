"""Queries to the processes of all VMs."""

import collections.abc
import datetime
import typing

import msgspec

from mustardwood import fleetstatus
from mustardwood import messages
from mustardwood import reports
from mustardwood import runtime
from mustardwood.agent import query_client
from mustardwood.agent import vm_report

LOCAL_QUERY_TIMEOUT = datetime.timedelta(seconds=1)
"""Time limit for the answers of this VM's entry and scheduler."""

FLEET_QUERY_TIMEOUT = datetime.timedelta(seconds=2)
"""Time limit for the answers of all VMs' agents."""

_log = runtime.make_logger("agent")


class FleetReport(msgspec.Struct, frozen=True):
    """The answers of the fleet to one query.

    Attributes:
        reports: Answers by name of VM.
        unanswered: Names of the VMs that did not answer, including dead VMs.
    """

    reports: dict[str, vm_report.VmReport]
    unanswered: tuple[str, ...]


class FleetQuerier:
    """Queries the agents of all VMs, which query their entry and scheduler.

    Args:
        own_peer: This agent.
        client: Sends queries and collects the replies.
        list_members: Returns the known VMs.
        read_versions: Returns the configuration versions in force on this VM.
        list_handover_records: Returns the counts that stopped entries handed
            over, for the minutes that the query's subject names.
    """

    def __init__(
        self, own_peer: messages.Peer, client: query_client.QueryClient,
        list_members: collections.abc.Callable[[], tuple[messages.Member, ...]],
        read_versions: collections.abc.Callable[[], fleetstatus.Versions],
        list_handover_records: collections.abc.Callable[[str], tuple[
            reports.LevelRecord, ...]]
    ) -> None:
        self._own_peer = own_peer
        self._query_client = client
        self._list_members = list_members
        self._read_versions = read_versions
        self._list_handover_records = list_handover_records

    async def query_local(self, kind: messages.QueryKind,
                          subject: str) -> vm_report.VmReport:
        """Queries the processes of this VM.

        Args:
            kind: Kind of the query; `BURN` is sent only to the entry.
            subject: Request id or range of minutes, as the kind requires;
                empty for a status query.
        """
        entry = messages.Peer(self._own_peer.ip, messages.Role.ENTRY)
        scheduler = messages.Peer(self._own_peer.ip, messages.Role.SCHEDULER)
        peers: tuple[messages.Peer, ...] = (entry, scheduler)
        if kind is messages.QueryKind.BURN:
            peers = (entry,)
        handed: tuple[reports.LevelRecord, ...] = ()
        if kind is messages.QueryKind.BURN:
            handed = self._list_handover_records(subject)
        result = await self._query_client.send_query(peers, kind, subject,
                                                     LOCAL_QUERY_TIMEOUT)
        return vm_report.VmReport(self._read_versions(),
                                  _read_body(result, entry),
                                  _read_body(result, scheduler), handed)

    async def query_fleet(self, kind: messages.QueryKind,
                          subject: str) -> FleetReport:
        """Queries all VMs; dead VMs are not queried.

        Args:
            kind: Kind of the query.
            subject: Request id or range of minutes, as the kind requires;
                empty for a status query.
        """
        names = {
            messages.Peer(each.ip, messages.Role.AGENT): each.vm
            for each in self._list_members()
            if each.state is not messages.MemberState.DEAD
        }
        result = await self._query_client.send_query(names, kind, subject,
                                                     FLEET_QUERY_TIMEOUT)
        reports_by_vm = {}
        for peer, reply in result.replies.items():
            report = _decode_report(reply)
            if report is not None:
                reports_by_vm[names[peer]] = report
        missing = {each.vm for each in self._list_members()
                  } - reports_by_vm.keys()
        return FleetReport(reports_by_vm, tuple(sorted(missing)))


def _read_body(result: query_client.QueryResult,
               peer: messages.Peer) -> dict[str, typing.Any] | None:
    reply = result.replies.get(peer)
    if reply is None:
        return None
    try:
        return msgspec.json.decode(reply.body, type=dict[str, typing.Any])
    except msgspec.MsgspecError as error:
        _log.warning("ignored the malformed answer of this VM's %s: %s",
                     peer.role, error)
        return None


def _decode_report(reply: messages.QueryReply) -> vm_report.VmReport | None:
    try:
        return msgspec.json.decode(reply.body, type=vm_report.VmReport)
    except msgspec.MsgspecError as error:
        _log.warning("ignored the malformed answer of VM %s: %s", reply.vm,
                     error)
        return None
