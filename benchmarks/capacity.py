"""Cost of the control plane for each role, at three fleet sizes up to the target.

Membership exchange is measured in one process, where an entry's watch calls a
replica's feed directly. The cost of the call itself is measured separately, over
gRPC on loopback with both ends in this process.
"""

from dataclasses import dataclass
from random import Random
from time import process_time

from click import command, option
from gevent import spawn
from grpc.experimental.gevent import init_gevent
from msgspec.structs import replace

from benchmarks.report import Row, write_report
from bergamotwood_core.cascade import CascadePolicy, CascadeSettings
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Model, Ticket, Version, Workspace
from bergamotwood_core.control import ApplyTicket, ControlMachine, encode_command
from bergamotwood_core.ids import InstanceId, LogIndex
from bergamotwood_core.messages import Address, Announcement, EntryReport
from bergamotwood_core.outcome import OutcomeCounter
from bergamotwood_core.states import EndpointKind
from bergamotwood_core.tables import Tables
from bergamotwood_daemon.directoryfeed import DirectoryFeed
from bergamotwood_daemon.peer import POLL, Method, PeerChannel, PeerServer
from bergamotwood_daemon.watch import HOLD_SECONDS, Watch
from bergamotwood_daemon.wire import ENCODER, POLL_REQUEST, PollReply

MICROSECONDS = 1e6
POLLS = 40
CALLS = 400
REPLICAS = 7
DATA_CENTRES = 9
TARGET_CHANGES_A_DAY = 2_700
DAY_SECONDS = 86_400.0


@dataclass(frozen=True)
class Size:
    """Size of a fleet: entries, and the endpoints that they route to."""

    entries: int
    endpoints: int


SIZES = (Size(9, 15), Size(100, 200), Size(330, 1_600))
SHORT_SIZES = (Size(9, 15), Size(50, 100))


class InProcessReplica:
    """A control replica's feed that the watch calls without a network."""

    def __init__(self, size: Size) -> None:
        self.feed = DirectoryFeed("boot")
        self.size = size
        self.now = Seconds(0.0)
        self.sequence = 0
        self.cpu_seconds = 0.0
        self.request_bytes = 0
        self.reply_bytes = 0

    def advance(self) -> None:
        """Record a new status message of every endpoint and entry."""
        self.sequence += 1
        self.now = Seconds(self.now + HOLD_SECONDS)
        for number in range(self.size.endpoints):
            self.feed.record_announcement(
                make_announcement(number, self.sequence), self.now
            )
        for number in range(self.size.entries):
            self.feed.record_report(make_report(number, self.sequence), self.now)

    def call(self, method: Method, body: bytes, timeout_seconds: float) -> bytes:
        """Answer a poll and add up its bytes and CPU time."""
        started = process_time()
        request = POLL_REQUEST.decode(body)
        update = self.feed.list_changes(request.boot, request.cursor)
        reply = ENCODER.encode(
            PollReply(
                age_seconds=0.1,
                applied=LogIndex(0),
                snapshot=None,
                changes=(),
                boot=self.feed.boot,
                cursor=update.cursor,
                announcements=update.announcements,
                loads=update.loads,
                reports=update.reports,
            )
        )
        self.cpu_seconds += process_time() - started
        self.request_bytes += len(body)
        self.reply_bytes += len(reply)
        return reply


class EchoHandler:
    """Answers each call with its own request body."""

    def handle_poll(self, body: bytes) -> bytes:
        """Return the body."""
        return body

    handle_replicate = handle_propose = handle_query = handle_poll


def make_announcement(number: int, sequence: int) -> Announcement:
    """Make an endpoint's announcement, whose load changes with each sequence."""
    return Announcement(
        f"endpoint-{number}",
        1_796_333_475_512_430,
        sequence,
        Address("10.0.0.1", 8_000),
        f"centre-{number % DATA_CENTRES}",
        EndpointKind.MODEL,
        ("reader-small:1", "reader-large:1"),
        64,
        float((number * sequence) % 64),
    )


def make_report(number: int, sequence: int) -> EntryReport:
    """Make an entry's status report."""
    address = Address("10.0.0.2", 8_000)
    centre = f"centre-{number % DATA_CENTRES}"
    instance = InstanceId(f"entry-{number}")
    return EntryReport(
        instance, 1_796_333_475_512_430, sequence, address, centre, in_flight=10
    )


def make_watch(replica: InProcessReplica) -> Watch:
    """Make the watch of an entry that polls the replica."""
    machine = ControlMachine()
    return Watch(
        machine,
        Tables(configuration=machine.tables),
        {InstanceId("replica"): replica},
        lambda: make_report(0, replica.sequence),
        CascadePolicy(CascadeSettings(), Random(1)),
        OutcomeCounter("entry-0"),
        lambda: replica.now,
        Random(1),
    )


def measure_membership(size: Size) -> list[Row]:
    """Measure one entry's polls when every status changes between two polls."""
    replica = InProcessReplica(size)
    watch = make_watch(replica)
    replica.advance()
    watch.report_now()
    replica.cpu_seconds = replica.request_bytes = replica.reply_bytes = 0
    cpu_seconds = 0.0
    for _ in range(POLLS):
        replica.advance()
        started = process_time()
        watch.report_now()
        cpu_seconds += process_time() - started
    label = f"{size.entries} daemons, {size.endpoints} endpoints"
    seconds = POLLS * HOLD_SECONDS
    received = replica.reply_bytes / seconds
    sent = replica.request_bytes / seconds
    poll_cpu_seconds = replica.cpu_seconds / POLLS
    watchers = size.entries / REPLICAS
    return [
        _make_row(f"{label}: bytes received by an entry", received, "B/s"),
        _make_row(f"{label}: bytes sent by an entry", sent, "B/s"),
        _make_row(
            f"{label}: an entry's time for a poll",
            (cpu_seconds - replica.cpu_seconds) / POLLS * MICROSECONDS,
            "us",
        ),
        _make_row(
            f"{label}: a replica's time for a poll",
            poll_cpu_seconds * MICROSECONDS,
            "us",
        ),
        _make_row(
            f"{label}: a replica's share of a core for its watchers",
            poll_cpu_seconds * watchers / HOLD_SECONDS * 100.0,
            "%",
        ),
    ]


def measure_call() -> Row:
    """Measure the CPU time of one gRPC call, client and server together."""
    server = PeerServer(EchoHandler(), "key")
    address = Address("127.0.0.1", 0)
    port = server.start(address)
    channel = PeerChannel(replace(address, port=port), "key")
    channel.call(POLL, b"x", 5.0)
    started = process_time()
    for _ in range(CALLS):
        channel.call(POLL, b"x" * 500, 5.0)
    cpu_seconds = (process_time() - started) / CALLS
    channel.close()
    server.stop(0.1)
    return _make_row("gRPC call, both ends", cpu_seconds * MICROSECONDS, "us")


def measure_tickets() -> list[Row]:
    """Measure the size of a configuration change and an entry's time to apply it.

    The last row is the size of a snapshot after all changes.
    """
    machine = ControlMachine()
    commands = [
        encode_command(ApplyTicket(_make_ticket(number))) for number in range(1, 201)
    ]
    started = process_time()
    for index, encoded in enumerate(commands, 1):
        machine.apply(LogIndex(index), encoded)
    cpu_seconds = (process_time() - started) / len(commands)
    size = sum(map(len, commands)) / len(commands)
    rate = TARGET_CHANGES_A_DAY / DAY_SECONDS
    return [
        _make_row(
            "configuration change: time to apply", cpu_seconds * MICROSECONDS, "us"
        ),
        _make_row("configuration change: bytes", size, "B"),
        _make_row("2,700 changes a day at an entry", size * rate, "B/s"),
        _make_row("snapshot of 20 workspaces", float(len(machine.snapshot())), "B"),
    ]


def _make_row(what: str, value: float, unit: str) -> Row:
    return {"what": what, "value": value, "unit": unit}


def _make_ticket(number: int) -> bytes:
    model = Model(name="m", current="m:1", versions=(Version(id="m:1"),))
    workspace = Workspace(
        name=f"w{number % 20}", versions=("m:1",), share=float(number)
    )
    ticket = Ticket(number=number, models=(model,), workspaces=(workspace,))
    return ticket.model_dump_json().encode()


def measure(sizes: tuple[Size, ...]) -> list[Row]:
    """Measure membership exchange at each size, one call, and tickets."""
    rows = [row for size in sizes for row in measure_membership(size)]
    return [*rows, measure_call(), *measure_tickets()]


@command()
@option("--short", is_flag=True, help="Fewer and smaller sizes.")
def main(short: bool) -> None:
    """Measure what the control plane costs each role."""
    init_gevent()
    greenlet = spawn(measure, SHORT_SIZES if short else SIZES)
    write_report("capacity", 0, greenlet.get())


if __name__ == "__main__":
    main()
