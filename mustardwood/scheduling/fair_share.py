"""Weighted fair sharing between the organisations of a class."""


class FairShare:
    """Start-time fair queueing [1]_ between organisations.

    The cost of a request is counted in tokens. The start tag of an organisation
    is the virtual start time of its next request.

    Examples:
        >>> share = FairShare()
        >>> share.charge("a", cost=100.0, weight=1.0)
        >>> share.activate("b")
        >>> share.get_start_tag("b") < share.get_start_tag("a")
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
        """Returns the virtual start time of an organisation's next request."""
        return self._start_tags.get(organisation, self._virtual_time)

    def activate(self, organisation: str) -> None:
        """Records that an organisation has waiting requests again.

        Its start tag is advanced to the virtual time, so that it gains no
        credit for the time in which it had none.
        """
        self._start_tags[organisation] = max(self.get_start_tag(organisation),
                                             self._virtual_time)

    def charge(self, organisation: str, cost: float, weight: float) -> None:
        """Charges an organisation for a grant of `cost` tokens."""
        start = self.get_start_tag(organisation)
        self._virtual_time = max(self._virtual_time, start)
        self._start_tags[organisation] = start + cost / weight

    def correct_charge(self, organisation: str, difference: float,
                       weight: float) -> None:
        """Adjusts a charge by the actual minus the expected tokens."""
        self._start_tags[organisation] = self.get_start_tag(
            organisation) + difference / weight
