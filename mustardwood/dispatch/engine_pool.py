"""The engines of a service on both sides of the split."""

import collections.abc
import hashlib
import random

from mustardwood.dispatch import endpoint as endpoint_module

_MOST_HOMES = 4096
"""Bound on remembered homes: about ten times the subjects of a deployment."""
_DIGEST_BYTES = 8

_Endpoints = collections.abc.Sequence[endpoint_module.Endpoint]


class EnginePool:
    """Finds homes, and draws engines to weigh; it never changes.

    Load pattern: in a large deployment, VMs whose news are a moment old would
    all send to the one engine that was least loaded then; each weighs a sample
    instead [1]_.

    References:
        .. [1] M. Mitzenmacher, "The power of two choices in randomized load
           balancing", IEEE Transactions on Parallel and Distributed Systems
           12(10), 2001.

    Attributes:
        usable: The engines.
        long_engines: Names of those that take long prompts.
    """

    def __init__(self, usable: _Endpoints,
                 long_prompt_engines: frozenset[str]) -> None:
        self.usable = usable
        self.long_prompt_engines = long_prompt_engines
        self._long = [
            each for each in usable if each.name in long_prompt_engines
        ]
        self._free = [
            each for each in usable if each.name not in long_prompt_engines
        ]
        self._homes: dict[tuple[str, bool], str] = {}

    def find_preferred_engine(self, prefix_key: str, is_long: bool) -> str:
        """Returns the name of the engine that should read a subject."""
        home = self._homes.get((prefix_key, is_long))
        if home is None:
            side = (self._long if is_long else self._free) or self.usable
            home = max(side, key=lambda each: _hash(prefix_key, each.name)).name
            if len(self._homes) < _MOST_HOMES:
                self._homes[prefix_key, is_long] = home
        return home

    def narrow(self, candidates: _Endpoints, kept: collections.abc.Set[str],
               is_long: bool, count: int, rng: random.Random) -> _Endpoints:
        """Returns the engines to weigh: all of few, a sample of many.

        Args:
            candidates: Engines that may be chosen, at least one.
            kept: Names of engines to weigh in any case.
            is_long: Whether the prompt is long.
            count: Engines of which all are weighed; of more, half as many that
                suit the prompt and a quarter of the others.
            rng: Draws the sample.
        """
        if len(candidates) <= count:
            return candidates
        suited, others = ((self._long, self._free) if is_long else
                          (self._free, self._long))
        drawn = (rng.sample(suited, min(count // 2, len(suited))) +
                 rng.sample(others, min(count // 4, len(others))))
        names = {each.name for each in drawn} | kept
        found = [each for each in candidates if each.name in names]
        # Equal costs go to the first, which must not be the same at each VM.
        rng.shuffle(found)
        return found or candidates


def _hash(prefix_key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{prefix_key}\0{name}".encode(),
                           digest_size=_DIGEST_BYTES).digest()
