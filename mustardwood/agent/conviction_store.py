"""Convictions in the platform's service."""

import datetime
import random

import msgspec

from mustardwood import errors
from mustardwood import keyvalue
from mustardwood import messages
from mustardwood import runtime
from mustardwood import timing
from mustardwood.agent import sleeper as sleeper_module

PREFIX = "mustardwood/convictions/"
"""Start of the keys of convictions."""

SPREAD = datetime.timedelta(seconds=2)
"""Writers wait for a random time up to this, so that one writes for all."""

_log = runtime.make_logger("convictions")


class ConvictionStore:
    """Keeps convictions in the platform's service until they end."""

    def __init__(self, service: keyvalue.KeyValueService, clock: timing.Clock,
                 sleeper: sleeper_module.Sleeper, rng: random.Random) -> None:
        self._service = service
        self._clock = clock
        self._sleeper = sleeper
        self._rng = rng

    async def read_all(self) -> tuple[messages.RequestBlock, ...]:
        """Returns the convictions that are kept.

        Raises:
            KeyValueError: The service can't be read.
        """
        found = []
        for each in await self._service.list(PREFIX):
            try:
                found.append(
                    msgspec.json.decode(each.value, type=messages.RequestBlock))
            except msgspec.MsgspecError as error:
                _log.error("key %s is malformed and ignored: %s", each.key,
                           error)
        return tuple(found)

    async def write(self, conviction: messages.RequestBlock) -> None:
        """Writes a conviction unless another VM has; failures are logged."""
        await self._sleeper.sleep(SPREAD * self._rng.random())
        left = conviction.until - self._clock.now()
        if left <= datetime.timedelta():
            return
        key = PREFIX + conviction.fingerprint
        try:
            if await self._service.get(key) is not None:
                return
            lease = await self._service.grant_lease(left)
            value = msgspec.json.encode(conviction).decode()
            await self._service.put(key,
                                    value,
                                    expected_revision=0,
                                    lease_id=lease.lease_id)
        except errors.KeyValueError as error:
            _log.warning("a conviction was not written: %s", error)
