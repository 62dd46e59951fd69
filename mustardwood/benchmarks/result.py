"""Results of one simulation."""

import msgspec


class ClassResult(msgspec.Struct, frozen=True):
    """Results of one request class.

    Attributes:
        name: Name of the request class.
        tier: Tier of the class.
        asked: Number of requests that arrived.
        whole: Number of complete responses.
        refused: Number of requests refused before any attempt.
        attainment: Share of requests that met their latency targets.
        first_token_p95: 95th percentile of the time to the first token, among
            requests with a first token, in seconds.
        longest_wait: Maximum time from arrival to the first attempt, in
            seconds.
    """

    name: str
    tier: int
    asked: int
    whole: int
    refused: int
    attainment: float
    first_token_p95: float
    longest_wait: float


class Result(msgspec.Struct, frozen=True):
    """Results of one policy in one scenario.

    Attributes:
        workload: Name of the workload.
        scenario: Name of the scenario.
        policy: Name of the policy.
        seed: Seed of the random number generators.
        classes: Results by class, most urgent first.
        attainment: Share of all requests that met their latency targets.
        goodput: Output tokens per second of responses that were complete by
            the end of the arrivals.
        wasted: Share of the generated tokens that belong to no complete
            response.
        inversions: Number of refusals while a request of a less urgent tier
            waited.
        fairness: Jain's index [1]_ over the organisations' shares of requested
            tokens that were served.
        control_kilobytes: Control messages of all VMs, in kilobytes per
            second.

    References:
        .. [1] R. Jain, D. Chiu and W. Hawe, "A quantitative measure of
           fairness and discrimination", DEC TR-301, 1984.
    """

    workload: str
    scenario: str
    policy: str
    seed: int
    classes: tuple[ClassResult, ...]
    attainment: float
    goodput: float
    wasted: float
    inversions: int
    fairness: float
    control_kilobytes: float
