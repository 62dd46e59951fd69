"""The text of the fleet's status."""

import collections.abc
import typing

_Row = collections.abc.Sequence[typing.Any]


def format_status(status: dict[str, typing.Any]) -> str:
    """Formats the answer of ``/v1/status`` as tables.

    Args:
        status: The answer.

    Returns:
        Several lines of text, with the VMs that did not answer named last.
    """
    parts = [
        format_table(("vm", "zone", "region", "state", "version"),
                     [(each.get("vm"), each.get("zone"), each.get("region"),
                       each.get("state"), each.get("version"))
                      for each in status.get("vms", [])]),
        format_table(
            ("cell", "owner", "queued", "running", "delay s"),
            [(each.get("cell"), each.get("owner"), each.get("queued", "-"),
              each.get("running", "-"), each.get("queue_delay_seconds", "-"))
             for each in status.get("cells", [])]),
        format_table(
            ("endpoint", "serves", "zone", "state", "running", "limit"),
            [(each.get("endpoint"), each.get("serves"), each.get("zone"),
              each.get("state"), each.get("running", "-"), each.get(
                  "limit", "-")) for each in status.get("endpoints", [])]),
    ]
    unanswered = status.get("unanswered", [])
    if unanswered:
        parts.append("no answer from: " + ", ".join(unanswered))
    return "\n\n".join(parts)


def format_explanation(explanation: dict[str, typing.Any]) -> str:
    """Formats the answer of ``/v1/explain`` as lines in the order of time."""
    events = sorted(explanation.get("events", []),
                    key=lambda each: str(each.get("time")))
    lines = [
        f"{each.get('time')} {each.get('vm', '')} {each.get('part')}: "
        f"{each.get('text')}" for each in events
    ]
    if not lines:
        lines.append("no VM remembers this request")
    unanswered = explanation.get("unanswered", [])
    if unanswered:
        lines.append("no answer from: " + ", ".join(unanswered))
    return "\n".join(lines)


def format_table(header: _Row, rows: collections.abc.Iterable[_Row]) -> str:
    """Formats rows under a header, columns aligned.

    Examples:
        >>> print(format_table(("vm", "version"), [("a", 3)]))
        vm  version
        a   3
    """
    texts = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*texts)]
    lines = ("  ".join(cell.ljust(width)
                       for cell, width in zip(row, widths))
             for row in texts)
    return "\n".join(line.rstrip() for line in lines)
