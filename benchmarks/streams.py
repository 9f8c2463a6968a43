"""Stream assembly under truncation, reordering, duplicates and late chunks."""

from collections import Counter
from collections.abc import Callable, Iterator
from random import Random

from click import command, option

from benchmarks.report import Row, write_report
from bergamotwood_core.errors import EndpointError
from bergamotwood_core.ids import RequestId
from bergamotwood_core.stream import Chunk, StreamAssembler, Usage

STREAMS = 2_000
MAX_ATTEMPTS = 3
MIN_CHUNKS, MAX_CHUNKS = 1, 200
FAULT_PROBABILITY = 0.7
# The end marker of a stream.
DONE = None

Event = Chunk | None
Fault = Callable[[list[Event], Random], list[Event]]


def make_events(request: RequestId, count: int, start: int) -> list[Event]:
    """Make the events of an answer from an index on, with the end marker."""
    events: list[Event] = [
        Chunk(request, index, f"{request}/{index} ") for index in range(start, count)
    ]
    if start <= count:
        events.append(Chunk(request, count, finish_reason="stop"))
    if start <= count + 1:
        events.append(Chunk(request, count + 1, usage=Usage(7, count)))
    return [*events, DONE]


def keep_all(events: list[Event], rng: Random) -> list[Event]:
    """Change nothing."""
    return events


def truncate(events: list[Event], rng: Random) -> list[Event]:
    """Cut the stream at a random event, like a broken or silent connection."""
    return events[: rng.randrange(len(events))]


def drop_end_marker(events: list[Event], rng: Random) -> list[Event]:
    """Drop only the end marker."""
    return events[:-1]


def reorder(events: list[Event], rng: Random) -> list[Event]:
    """Reorder chunks, each by up to 20 positions."""
    chunks = [event for event in events if event is not DONE]
    chunks.sort(key=lambda chunk: chunk.index + rng.uniform(0, 20))
    return [*chunks, DONE]


def duplicate(events: list[Event], rng: Random) -> list[Event]:
    """Repeat a third of the chunks, and reorder all by up to 5 positions."""
    chunks = list(events[:-1])
    for chunk in rng.sample(events[:-1], len(events) // 3):
        chunks.insert(rng.randrange(len(chunks) + 1), chunk)
    chunks.sort(key=lambda chunk: chunk.index + rng.uniform(0, 5))
    return [*chunks, DONE]


def drop_chunk(events: list[Event], rng: Random) -> list[Event]:
    """Drop one random chunk."""
    if len(events) < 2:
        return events
    lost = rng.randrange(len(events) - 1)
    return events[:lost] + events[lost + 1 :]


def insert_foreign_chunk(events: list[Event], rng: Random) -> list[Event]:
    """Insert a chunk of another request."""
    position = rng.randrange(len(events))
    other = Chunk(RequestId("other"), position, "theirs ")
    return [*events[:position], other, *events[position:]]


def send_after_end(events: list[Event], rng: Random) -> list[Event]:
    """Send another chunk after the end marker."""
    first = next(event for event in events if event is not DONE)
    return [*events, Chunk(first.request, first.index + 500, "more ")]


def end_early(events: list[Event], rng: Random) -> list[Event]:
    """Send the end marker in place of a random event and stop."""
    position = rng.randrange(len(events))
    return [*events[:position], DONE]


FAULTS: dict[str, Fault] = {
    "none": keep_all,
    "silent or broken": truncate,
    "cut at marker": drop_end_marker,
    "out of order": reorder,
    "repeated": duplicate,
    "lost chunk": drop_chunk,
    "foreign chunk": insert_foreign_chunk,
    "early marker": end_early,
    "after marker": send_after_end,
}


class StreamReader:
    """Reads one answer through the assembler, over several attempts."""

    def __init__(self, request: RequestId, count: int, rng: Random) -> None:
        self.request = request
        self.count = count
        self.rng = rng
        self.text = ""
        self.attempts = 0
        self.late_events: list[Event] = []
        self.assembler = StreamAssembler(request)

    def read(self, fault: Fault) -> str:
        """Read the answer and return "whole", "error" or "wrong"."""
        expected = "".join(f"{self.request}/{index} " for index in range(self.count))
        for _ in range(MAX_ATTEMPTS):
            self.attempts += 1
            try:
                self._read_attempt(fault)
            except EndpointError:
                self._resume()
                continue
            return "whole" if self.text == expected else "wrong"
        return "error" if expected.startswith(self.text) else "wrong"

    def _read_attempt(self, fault: Fault) -> None:
        """Read one attempt, mixed with late chunks of the previous attempt."""
        done = False
        for attempt, event in self._list_events(fault):
            if event is DONE:
                done = True
                break
            for chunk in self.assembler.accept(event, attempt):
                self.text += chunk.content
        self.assembler.finish(done)

    def _list_events(self, fault: Fault) -> Iterator[tuple[int, Event]]:
        """Yield the attempt's events and late ones of the previous attempt."""
        current = self.assembler.attempt
        events = make_events(self.request, self.count, self.assembler.next_index)
        faulty = self.rng.random() < FAULT_PROBABILITY
        sent = fault(events, self.rng) if faulty else events
        late_events, self.late_events = (
            self.late_events,
            [e for e in events[-8:] if e is not DONE],
        )
        for event in sent:
            if late_events and self.rng.random() < 0.3:
                yield current - 1, replace_content(late_events.pop())
            yield current, event

    def _resume(self) -> None:
        """Resume at the next index on another endpoint."""
        if self.assembler.complete:
            return
        try:
            self.assembler.resume()
        except EndpointError:
            self.attempts = MAX_ATTEMPTS


def replace_content(event: Event) -> Event:
    """Replace a late chunk's content, as if the endpoint had answered differently."""
    if event is DONE:
        return event
    return Chunk(event.request, event.index, "late ")


def run_fault(name: str, fault: Fault, seed: int) -> Row:
    """Read `STREAMS` answers under one fault and count the outcomes."""
    rng = Random(f"{seed}/{name}")
    outcomes: Counter[str] = Counter()
    attempts = 0
    for number in range(STREAMS):
        count = rng.randint(MIN_CHUNKS, MAX_CHUNKS)
        reader = StreamReader(RequestId(f"r{number}"), count, rng)
        outcomes[reader.read(fault)] += 1
        attempts += reader.attempts
    return {
        "fault": name,
        "streams": STREAMS,
        "whole": outcomes["whole"],
        "error": outcomes["error"],
        "wrong": outcomes["wrong"],
        "attempts": attempts / STREAMS,
    }


@command()
@option("--seed", default=11, show_default=True)
def main(seed: int) -> None:
    """Run every fault; seven attempts in ten are faulty."""
    print(f"seed {seed}")
    write_report("streams", seed, [run_fault(n, f, seed) for n, f in FAULTS.items()])


if __name__ == "__main__":
    main()
