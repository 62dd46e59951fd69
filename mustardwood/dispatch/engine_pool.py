"""The engines of a service, divided by the engine partition."""

import collections.abc
import hashlib
import random

from mustardwood.dispatch import endpoint as endpoint_module

_MAX_REMEMBERED_PREFIXES = 4096
"""Maximum number of prefixes kept: about ten times those of a deployment."""
_DIGEST_BYTES = 8

_Endpoints = collections.abc.Sequence[endpoint_module.Endpoint]


class EnginePool:
    """Finds preferred engines for prefixes, and samples engines to evaluate.

    A pool is replaced when its engines or their partition change.

    Load pattern: in a large deployment, the load reports that VMs have are
    slightly old, and all VMs would send to the one engine that had the lowest
    load at that time. Each VM evaluates a random sample instead [1]_.

    References:
        .. [1] M. Mitzenmacher, "The power of two choices in randomized load
           balancing", IEEE Transactions on Parallel and Distributed Systems
           12(10), 2001.

    Attributes:
        usable: The engines.
        long_prompt_engines: Names of the engines that take long prompts.
    """

    def __init__(self, usable: _Endpoints,
                 long_prompt_engines: frozenset[str]) -> None:
        self.usable = usable
        self.long_prompt_engines = long_prompt_engines
        self._long_prompt_side = [
            each for each in usable if each.name in long_prompt_engines
        ]
        self._reserved_side = [
            each for each in usable if each.name not in long_prompt_engines
        ]
        self._preferred_engines: dict[tuple[str, bool], str] = {}

    def find_preferred_engine(self, prefix_key: str, is_long: bool) -> str:
        """Returns the name of the engine that should cache a prefix.

        All VMs choose the same engine by rendezvous hashing.

        Args:
            prefix_key: Key of the prefix.
            is_long: Whether the prompt is long.
        """
        preferred = self._preferred_engines.get((prefix_key, is_long))
        if preferred is None:
            side = (self._long_prompt_side
                    if is_long else self._reserved_side) or self.usable
            preferred = max(side,
                            key=lambda each: _hash(prefix_key, each.name)).name
            if len(self._preferred_engines) < _MAX_REMEMBERED_PREFIXES:
                self._preferred_engines[prefix_key, is_long] = preferred
        return preferred

    def sample_engines(self, candidates: _Endpoints,
                       required: collections.abc.Set[str], is_long: bool,
                       count: int, rng: random.Random) -> _Endpoints:
        """Returns the engines to evaluate: all, or a sample if there are many.

        Args:
            candidates: Engines that may be chosen, at least one.
            required: Names of engines that a sample must include.
            is_long: Whether the prompt is long.
            count: Number of engines up to which all are evaluated; of more
                engines, half this number of those for such a prompt and a
                quarter of it of the others are sampled.
            rng: Random number generator for the sample.
        """
        if len(candidates) <= count:
            return candidates
        suitable, others = ((self._long_prompt_side,
                             self._reserved_side) if is_long else
                            (self._reserved_side, self._long_prompt_side))
        sampled = (rng.sample(suitable, min(count // 2, len(suitable))) +
                   rng.sample(others, min(count // 4, len(others))))
        names = {each.name for each in sampled} | required
        found = [each for each in candidates if each.name in names]
        # Among equal costs the first engine is chosen, so the order must differ
        # between VMs.
        rng.shuffle(found)
        return found or candidates


def _hash(prefix_key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{prefix_key}\0{name}".encode(),
                           digest_size=_DIGEST_BYTES).digest()
