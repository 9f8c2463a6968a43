"""Sampling of the entries' configurations during a scenario."""

import gevent

from bergamotwood_fakes.evidence import Sample
from bergamotwood_fakes.fleet import Fleet
from bergamotwood_fakes.managed_process import ManagedProcess
from bergamotwood_fakes.record import read_clock

INTERVAL_SECONDS = 0.4


class Sampler:
    """Samples the status of each entry periodically.

    Parameters
    ----------
    fleet : Fleet
        Fleet of the entries.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.samples: list[Sample] = []
        self.latest: dict[str, dict] = {}

    def start(self) -> None:
        """Start sampling all entries."""
        for entry in self._fleet.entries:
            gevent.spawn(self._run, entry)

    def _run(self, entry: ManagedProcess) -> None:
        """Sample one entry periodically while it runs."""
        while True:
            if entry.running:
                self._sample(entry)
            gevent.sleep(INTERVAL_SECONDS)

    def _sample(self, entry: ManagedProcess) -> None:
        """Take one sample, with the time at which the request was sent."""
        requested_at = read_clock()
        pid = entry.process.pid
        status = self._fleet.read_status(entry)
        if status is None:
            self.latest.pop(entry.name, None)
            return
        self.latest[entry.name] = status
        self.samples.append(
            Sample(
                requested_at,
                entry.name,
                pid,
                status["ticket"],
                status["config_age_seconds"],
                status["draining"],
            )
        )
