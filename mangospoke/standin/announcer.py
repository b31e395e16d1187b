"""How a stand-in upstream makes itself known to the daemon on its host."""

import enum

import msgspec
import trio
from loguru import logger

from mangospoke.announcements import Announcement
from mangospoke.client.connections import ConnectionPool, ExchangeError
from mangospoke.http.fields import ANNOUNCE_PATH, DRAIN_PATH, LEAVE_PATH

_REPEAT_SECONDS = 1.0
_RETRY_SECONDS = 0.1
_TIMEOUT_SECONDS = 2.0


class Presence(enum.Enum):
    """What the daemon is told."""

    SERVING = "serving"
    DRAINING = "draining"


class Announcer:
    """Repeats the upstream's presence, so that a restarted daemon hears of it.

    Attributes:
        announced: Set once the daemon has accepted an announcement.
    """

    def __init__(
        self, pool: ConnectionPool, local_listener: str, announcement: Announcement
    ) -> None:
        self.announced = trio.Event()
        self._pool = pool
        self._local_listener = local_listener
        self._body = msgspec.json.encode(announcement)
        self._presence = Presence.SERVING

    async def run(self) -> None:
        """Announces again and again until it is cancelled."""
        while True:
            told = await self._tell()
            if told:
                self.announced.set()
            await trio.sleep(_REPEAT_SECONDS if told else _RETRY_SECONDS)

    async def drain(self) -> None:
        """Asks for no more work."""
        self._presence = Presence.DRAINING
        await self._tell()

    async def leave(self) -> None:
        """Says that the upstream is gone; its last word."""
        await self._post(LEAVE_PATH, b"")

    async def _tell(self) -> bool:
        if self._presence is Presence.DRAINING:
            return await self._post(DRAIN_PATH, b"")
        return await self._post(ANNOUNCE_PATH, self._body)

    async def _post(self, path: str, body: bytes) -> bool:
        headers = [(b"content-type", b"application/json")]
        try:
            with trio.fail_after(_TIMEOUT_SECONDS):
                answer = await self._pool.exchange(
                    self._local_listener, "POST", path, headers, body
                )
        except (ExchangeError, trio.TooSlowError) as error:
            logger.debug("the daemon was not told: {}", error)
            return False
        if answer.status >= 300:
            logger.warning("the daemon answered {} to {}", answer.status, path)
        return answer.status < 300
