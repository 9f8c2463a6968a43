"""Announcements of a fake endpoint to the entries."""

from collections.abc import Callable
from time import time_ns

from gevent import sleep
from geventhttpclient import HTTPClient
from msgspec import json
from msgspec.structs import replace

from bergamotwood_core.ids import Incarnation, Sequence
from bergamotwood_core.messages import Address, Announcement
from bergamotwood_core.states import EndpointState

PATH = "/v1/endpoints"
INTERVAL_SECONDS = 0.5
TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.1


def make_incarnation() -> Incarnation:
    """Make a number that grows with each start: the Unix time in milliseconds."""
    return Incarnation(time_ns() // 1_000_000)


class Announcer:
    """Announces an endpoint periodically, to one entry at a time.

    Parameters
    ----------
    entries : tuple of Address
        Entries in the order of use; a failed announcement switches to the next one.
    key : str
        Endpoint key.
    describe : callable
        Returns the current announcement; its sequence and state are set here.
    """

    def __init__(
        self,
        entries: tuple[Address, ...],
        key: str,
        describe: Callable[[], Announcement],
    ) -> None:
        self._entries = entries
        self._describe = describe
        self._entry_index = 0
        self._sequence = 0
        self._state = EndpointState.SERVING
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
        }

    @property
    def leaving(self) -> bool:
        """Whether the endpoint has begun to announce that it leaves."""
        return self._state is EndpointState.LEAVING

    def run(self) -> None:
        """Announce periodically until the greenlet is killed."""
        while True:
            accepted = self.announce()
            sleep(INTERVAL_SECONDS if accepted else RETRY_SECONDS)

    def leave(self) -> None:
        """Announce that the endpoint leaves; try the entries until one accepts it."""
        self._state = EndpointState.LEAVING
        for _ in self._entries:
            if self.announce():
                return

    def announce(self) -> bool:
        """Announce once and return whether an entry accepted it."""
        if not self._entries:
            return False
        self._sequence += 1
        announcement = replace(
            self._describe(), sequence=Sequence(self._sequence), state=self._state
        )
        entry = self._entries[self._entry_index % len(self._entries)]
        if self._post(entry, json.encode(announcement)):
            return True
        self._entry_index += 1
        return False

    def _post(self, entry: Address, body: bytes) -> bool:
        """Post an announcement to one entry and return whether it accepted it."""
        client = HTTPClient(
            entry.host,
            entry.port,
            connection_timeout=TIMEOUT_SECONDS,
            network_timeout=TIMEOUT_SECONDS,
        )
        try:
            response = client.post(PATH, body=body, headers=self._headers)
            response.read()
            return 200 <= response.status_code < 300
        except Exception:
            return False
        finally:
            client.close()
