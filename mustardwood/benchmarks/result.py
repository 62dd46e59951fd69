"""The result of one run."""

import msgspec


class ClassResult(msgspec.Struct, frozen=True):
    """What one class got.

    Attributes:
        name: Request class.
        tier: Its tier.
        asked: Requests that arrived.
        whole: Whole answers.
        refused: Requests refused without a run.
        attainment: Share of requests that met their targets.
        first_token_p95: 95th percentile of the time to the first token among
            answered requests, in seconds.
        longest_wait: Longest time from arrival to the first send, in seconds.
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
    """What one policy achieved in one scenario.

    Attributes:
        workload: Whose traffic.
        scenario: Load and faults.
        policy: The policy.
        seed: Seed of the random numbers.
        classes: Results by class, most urgent first.
        attainment: Share of all requests that met their targets.
        goodput: Tokens of answers that were whole by the end of the arrivals,
            per second of arrivals.
        wasted: Share of the engines' tokens that no whole answer holds.
        inversions: Refusals while a request of a lower tier waited.
        fairness: Jain's index [1]_ over organisations of the share of asked
            tokens that were answered.
        control_kilobytes: Kilobytes a second of messages for control, of all
            VMs together.

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
