"""Weighted shares of organisations within a class."""


class FairShare:
    """Start-time fair queueing over organisations, in tokens [1]_.

    The tag of an organisation is the virtual start time of its next request.

    Examples:
        >>> share = FairShare()
        >>> share.charge("a", cost=100.0, weight=1.0)
        >>> share.activate("b")
        >>> share.tag("b") < share.tag("a")
        True

    References:
        .. [1] P. Goyal, H. Vin and H. Cheng, "Start-time fair queueing: a
           scheduling algorithm for integrated services packet switching
           networks", IEEE/ACM Transactions on Networking 5(5), 1997.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._start_tags: dict[str, float] = {}

    def get_start_tag(self, organisation: str) -> float:
        """Returns the virtual start time of the organisation's next request."""
        return self._start_tags.get(organisation, self._virtual_time)

    def activate(self, organisation: str) -> None:
        """Starts a backlog: time without one earns no credit."""
        self._start_tags[organisation] = max(self.get_start_tag(organisation),
                                             self._virtual_time)

    def charge(self, organisation: str, cost: float, weight: float) -> None:
        """Accounts for a grant of `cost` tokens."""
        start = self.get_start_tag(organisation)
        self._virtual_time = max(self._virtual_time, start)
        self._start_tags[organisation] = start + cost / weight

    def correct_charge(self, organisation: str, difference: float,
                       weight: float) -> None:
        """Adds actual minus expected tokens of a finished request."""
        self._start_tags[organisation] = self.get_start_tag(
            organisation) + difference / weight
