"""Blocks of requests in the platform's key-value service."""

import datetime
import random

import msgspec

from mustardwood import errors
from mustardwood import keyvalue
from mustardwood import messages
from mustardwood import runtime
from mustardwood import timing
from mustardwood.agent import sleeper as sleeper_module

KEY_PREFIX = "mustardwood/convictions/"
"""Prefix of the keys of blocks."""

MAX_WRITE_DELAY = datetime.timedelta(seconds=2)
"""Maximum random delay before a write.

All watchers learn of a block at about the same time. After different delays,
usually one of them writes it and the others find it written.
"""

_log = runtime.make_logger("convictions")


class RequestBlockStore:
    """Stores blocks at the platform until they expire.

    Args:
        service: The platform's key-value service.
        clock: Source of wall-clock time.
        sleeper: Waits before a write.
        rng: Source of randomness.
    """

    def __init__(self, service: keyvalue.KeyValueService, clock: timing.Clock,
                 sleeper: sleeper_module.Sleeper, rng: random.Random) -> None:
        self._service = service
        self._clock = clock
        self._sleeper = sleeper
        self._rng = rng

    async def read_all(self) -> tuple[messages.RequestBlock, ...]:
        """Returns all stored blocks.

        Raises:
            KeyValueError: The key-value service can't be read.
        """
        found = []
        for each in await self._service.list(KEY_PREFIX):
            try:
                found.append(
                    msgspec.json.decode(each.value, type=messages.RequestBlock))
            except msgspec.MsgspecError as error:
                _log.error("ignored the malformed block at key %s: %s",
                           each.key, error)
        return tuple(found)

    async def write(self, block: messages.RequestBlock) -> None:
        """Writes a block unless another VM has written it; logs a failure."""
        await self._sleeper.sleep(MAX_WRITE_DELAY * self._rng.random())
        remaining = block.until - self._clock.now()
        if remaining <= datetime.timedelta():
            return
        key = KEY_PREFIX + block.fingerprint
        try:
            if await self._service.get(key) is not None:
                return
            lease = await self._service.grant_lease(remaining)
            value = msgspec.json.encode(block).decode()
            await self._service.put(key,
                                    value,
                                    expected_revision=0,
                                    lease_id=lease.lease_id)
        except errors.KeyValueError as error:
            _log.warning("a request block could not be stored: %s", error)
