"""Announcements of a stand-in to the entries."""

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
    """Make a number that rises with each start, in milliseconds of the date."""
    return Incarnation(time_ns() // 1_000_000)


class Announcer:
    """Tells the entries about an endpoint, one entry at a time.

    Parameters
    ----------
    entries : tuple of Address
        Tried in turn; the next one after a failure.
    key : str
        Endpoint key.
    describe : callable
        Gives the announcement of now; its sequence and state are set here.
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
        """Whether the endpoint has said that it leaves."""
        return self._state is EndpointState.LEAVING

    def run(self) -> None:
        """Announce for ever."""
        while True:
            accepted = self.announce()
            sleep(INTERVAL_SECONDS if accepted else RETRY_SECONDS)

    def leave(self) -> None:
        """Announce that the endpoint leaves, to each entry until one hears."""
        self._state = EndpointState.LEAVING
        for _ in self._entries:
            if self.announce():
                return

    def announce(self) -> bool:
        """Announce once and say whether an entry took it."""
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
        """Post an announcement to one entry."""
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
