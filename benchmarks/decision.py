"""Time of the decisions for one request, and of processing one streamed token."""

from collections.abc import Callable
from gc import collect
from random import Random
from time import perf_counter_ns

from click import command, option

from benchmarks.report import Row, find_percentiles, print_table, write_json
from bergamotwood_core.admission import AdmissionController, AdmissionSettings
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Version, Workspace
from bergamotwood_core.dispatch import check_dispatch
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    RequestId,
    Sequence,
    SessionId,
    VersionId,
)
from bergamotwood_core.messages import Address, Announcement
from bergamotwood_core.outlier import record_first_token, record_start, record_success
from bergamotwood_core.placement import PlacementRequirements, choose_endpoint
from bergamotwood_core.quarantine import fingerprint_request
from bergamotwood_core.session import make_session, read_session
from bergamotwood_core.states import EndpointKind, Priority
from bergamotwood_core.stream import StreamAssembler
from bergamotwood_core.tables import Endpoint, Tables
from bergamotwood_core.target import VersionTarget
from bergamotwood_daemon.answer import _decode_chunk
from bergamotwood_daemon.completion import EventEncoder

# Numbers of endpoints.
SIZES = (15, 200, 1_600)
VERSIONS = 11
DATA_CENTRES = 9
CALLS = 5_000
TOKENS = 20_000
NOW = Seconds(100.0)
DEADLINE = Seconds(1_000.0)
SECRET = b"0123456789abcdef"
WORKSPACE = Workspace(
    name="kubwa",
    versions=tuple(f"m{number}:1" for number in range(VERSIONS)),
    max_in_flight=10_000,
)


def make_tables(size: int, spread: bool, rng: Random) -> Tables:
    """Make tables of endpoints.

    They are spread over the versions and data centres, or all run one version in one
    data centre.
    """
    tables = Tables()
    configuration = tables.configuration
    configuration.workspaces[WORKSPACE.key] = WORKSPACE
    for name in WORKSPACE.versions:
        configuration.versions[VersionId(name)] = Version(id=name)
    for number in range(size):
        announcement = Announcement(
            id=EndpointId(f"endpoint-{number:05d}"),
            incarnation=Incarnation(1),
            sequence=Sequence(1),
            address=Address("127.0.0.1", 1),
            data_centre=DataCentre(f"dc{number % DATA_CENTRES if spread else 0}"),
            kind=EndpointKind.MODEL,
            versions=(VersionId(f"m{number % VERSIONS if spread else 0}:1"),),
            capacity=16,
            load=rng.uniform(0, 20),
        )
        tables.directory.endpoints[announcement.id] = Endpoint(announcement, NOW)
    return tables


class RequestDecisions:
    """Makes the decisions of one request, always on the same tables."""

    def __init__(self, size: int, spread: bool, seed: int) -> None:
        self.rng = Random(seed)
        self.tables = make_tables(size, spread, self.rng)
        self.version = VersionId("m0:1")
        self.target = VersionTarget(self.version)
        self.admission = AdmissionController(AdmissionSettings(limit=1_000))
        self.session = make_session(self.version, SECRET, self.rng)
        self.body = bytes(self.rng.randbytes(24_000))
        self.number = 0

    def place(self, **fields: int | SessionId) -> EndpointId:
        """Choose an endpoint by load, or by the requirements given as fields."""
        requirements = PlacementRequirements(self.target, DataCentre("dc0"), **fields)
        chosen = choose_endpoint(self.tables.directory, requirements, NOW, self.rng)
        if chosen is None:
            raise LookupError("no endpoint runs the version")
        return chosen

    def place_prefix(self) -> EndpointId:
        """Choose an endpoint for a random prompt prefix."""
        return self.place(prefix_hash=self.rng.getrandbits(64))

    def place_after_change(self) -> EndpointId:
        """Choose an endpoint after the set of members has changed."""
        self.tables.directory.membership_version += 1
        return self.place_prefix()

    def check(self) -> None:
        """Check a dispatch to the first endpoint."""
        self.check_endpoint(EndpointId("endpoint-00000"))

    def check_endpoint(self, endpoint: EndpointId) -> None:
        """Check a dispatch to one endpoint."""
        check_dispatch(
            self.tables,
            WORKSPACE.key,
            self.target,
            endpoint,
            Seconds(1.0),
            Seconds(5.0),
            fingerprint_request(WORKSPACE.key, "/v1/chat/completions", b""),
        )

    def fingerprint(self) -> None:
        """Compute the fingerprint of a body of 24 kB."""
        fingerprint_request(WORKSPACE.key, "/v1/chat/completions", self.body)

    def admit(self) -> None:
        """Admit and release a request."""
        self.number += 1
        request = RequestId(str(self.number))
        self.admission.offer(request, WORKSPACE, Priority.NORMAL, DEADLINE, NOW)
        self.admission.release(request, NOW)

    def decode_session(self) -> None:
        """Verify and decode a session id."""
        read_session(self.session, SECRET)

    def decide(self) -> None:
        """Make every decision of one request, from its session to its release."""
        self.decode_session()
        self.fingerprint()
        self.number += 1
        request = RequestId(str(self.number))
        self.admission.offer(request, WORKSPACE, Priority.NORMAL, DEADLINE, NOW)
        endpoint = self.place_prefix()
        self.check_endpoint(endpoint)
        row = self.tables.directory.endpoints[endpoint]
        record_start(row, NOW)
        record_first_token(row, 0.1, NOW)
        record_success(row, NOW)
        self.admission.release(request, NOW)


def measure(call: Callable[[], object], calls: int) -> tuple[float, float, float]:
    """Measure the mean, median and 99th percentile of a call in microseconds."""
    for _ in range(20):
        call()
    collect()
    durations = []
    for _ in range(calls):
        start = perf_counter_ns()
        call()
        durations.append((perf_counter_ns() - start) / 1_000)
    p50, _, p99 = find_percentiles(durations)
    return sum(durations) / len(durations), p50, p99


def measure_decisions(size: int, spread: bool, seed: int) -> list[Row]:
    """Measure each decision at one fleet size."""
    decisions = RequestDecisions(size, spread, seed)
    operations: dict[str, Callable[[], object]] = {
        "place by load": decisions.place,
        "place by prefix": decisions.place_prefix,
        "place after a change": decisions.place_after_change,
        "check at dispatch": decisions.check,
        "fingerprint of 24 kB": decisions.fingerprint,
        "admit and release": decisions.admit,
        "read session": decisions.decode_session,
        "whole decision": decisions.decide,
    }
    rows = []
    for name, call in operations.items():
        calls = CALLS // 10 if "change" in name else CALLS
        mean, p50, p99 = measure(call, calls)
        layout = "spread" if spread else "one pool"
        labels: Row = {"endpoints": size, "fleet": layout, "part": name}
        rows.append(labels | {"mean_us": mean, "p50_us": p50, "p99_us": p99})
    return rows


class TokenPath:
    """Processes tokens: decodes an endpoint's event, assembles and encodes it."""

    def __init__(self) -> None:
        self.request = RequestId("i1-42")
        self.assembler = StreamAssembler(self.request)
        self.encoder = EventEncoder(self.request, "m0:1")
        self.index = 0

    def process_token(self) -> None:
        """Process the event of one token."""
        for chunk in self.assembler.accept(_decode_chunk(self.make_event())):
            self.encoder.encode(chunk)

    def make_event(self) -> bytes:
        """Make an endpoint's event, at a cost that is measured separately."""
        event = (
            b'{"id":"i1-42","object":"chat.completion.chunk","created":1,"index":%d,'
            b'"model":"m0:1","choices":[{"index":0,"delta":{"content":" word"},'
            b'"finish_reason":null}]}' % self.index
        )
        self.index += 1
        return event


def measure_token() -> Row:
    """Measure the time to process one token in microseconds.

    The mean and the median exclude the time to make the event; the 99th percentile
    includes it.
    """
    path = TokenPath()
    mean, p50, p99 = measure(path.process_token, TOKENS)
    make_mean, make_p50, _ = measure(TokenPath().make_event, TOKENS)
    return {
        "endpoints": 0,
        "fleet": "any",
        "part": "token's way",
        "mean_us": mean - make_mean,
        "p50_us": p50 - make_p50,
        "p99_us": p99,
    }


@command()
@option("--seed", default=11, show_default=True)
def main(seed: int) -> None:
    """Measure decisions at all sizes, and the processing of one token."""
    rows = [
        row
        for spread in (True, False)
        for size in SIZES
        for row in measure_decisions(size, spread, seed)
    ]
    rows.append(measure_token())
    print(f"seed {seed}")
    print_table(rows)
    write_json("decision", seed, rows)


if __name__ == "__main__":
    main()
