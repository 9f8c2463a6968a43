"""Demonstration on a local fleet: `python -m bergamotwood_fakes.demo`."""

from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from click import ClickException, command, echo, option
from click import Path as PathType
from msgspec import convert, yaml

from bergamotwood_fakes.caller import Caller, make_caller_key
from bergamotwood_fakes.fleet import OPERATOR_KEY, Fleet, FleetError, wait_until
from bergamotwood_fakes.operator import Operator
from bergamotwood_fakes.plan import FleetPlan
from bergamotwood_fakes.process import wait_for_stop
from bergamotwood_fakes.request import make_chat, make_lookup, make_payment
from bergamotwood_fakes.transcript import Request, Transcript

EXAMPLES = Path("examples/demo")
DOCS = Path("docs")
WORKSPACE = "circles"
READY_TIMEOUT_SECONDS = 30.0
CHAPTER_TOKENS = 300
CHAPTER_WORDS = 3_000
OUTPUT_WIDTH = 78
SEED = 1


class DemoError(ClickException):
    """The demonstration failed."""


def read_chapter(path: Path | None) -> str:
    """Read the text to send.

    By default it is the project's pages, repeated to at least `CHAPTER_WORDS` words.
    """
    if path is not None:
        return path.read_text()
    pages = "\n\n".join(page.read_text() for page in sorted(DOCS.rglob("*.md")))
    return pages * (1 + CHAPTER_WORDS // len(pages.split()))


class Demo:
    """Sends requests for a workspace and prints answers and bills.

    Parameters
    ----------
    fleet : Fleet
        The started fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._operator = Operator(fleet, Random(SEED))
        self._caller = Caller(fleet, Random(SEED))
        self._fleet = fleet

    def apply_ticket(self, path: Path) -> None:
        """Submit a ticket file and wait until all entries apply it."""
        content = yaml.decode(path.read_bytes())
        number = content.pop("number")
        ticket = self._operator.submit(number, content)
        if not ticket.accepted:
            raise DemoError(f"ticket {number} was refused")
        wait_until(
            lambda: self._is_ready(number), READY_TIMEOUT_SECONDS, "ticket in force"
        )
        echo(f"ticket {number}: in force at {len(self._fleet.entries)} entries")

    def run(self, chapter: str) -> None:
        """Send a chapter, a payment twice, and an availability check."""
        text = f"Write a discussion guide to this chapter.\n\n{chapter}"
        guide = make_chat("guide", WORKSPACE, "reading", text, CHAPTER_TOKENS)
        echo(f"\nchapter of {len(text.split())} words through the cascade, streamed")
        self._show(self._send(guide))
        payment = make_payment("payment", WORKSPACE, "parcels", "payments")
        echo("\nparcel payment, sent twice with one key through two entries")
        first = self._send(payment, ("entry-1",))
        second = self._send(payment, ("entry-2",))
        self._show(first)
        self._show(second)
        if first.answer.text != second.answer.text:
            raise DemoError("the two answers to one payment differ")
        echo("\navailability check")
        self._show(self._send(make_lookup("check", WORKSPACE, "availability", "books")))
        self._show_bills()

    def _is_ready(self, number: int) -> bool:
        """Whether each entry applies a ticket and knows all endpoints."""
        endpoint_count = len(self._fleet.plan.engines) + len(self._fleet.plan.services)
        for entry in self._fleet.entries:
            status = self._fleet.read_status(entry)
            if status is None or status["ticket"] < number:
                return False
            if status["endpoints"] < endpoint_count:
                return False
        return True

    def _send(self, request: Request, entries: tuple[str, ...] = ()) -> Transcript:
        """Send a request and fail when it is not answered."""
        transcript = self._caller.send(request, entries)
        if transcript.answer is None:
            raise DemoError(f"{request.mark}: {transcript.tries[-1].detail}")
        return transcript

    def _show(self, transcript: Transcript) -> None:
        """Print an answer with its entry, version, cost and duration."""
        attempt = transcript.answer
        version = f"version {attempt.version}  " if attempt.version else ""
        cost = f"cost {attempt.cost:.4f}  " if attempt.cost else ""
        seconds = attempt.ended - attempt.began
        echo(f"  {attempt.entry}  {version}{cost}{seconds:.2f} s")
        echo(f"  {attempt.text[:OUTPUT_WIDTH]}")

    def _show_bills(self) -> None:
        """Print the bills and check that there is one for each request."""
        bills = self._operator.read_bills()
        echo("\nbills")
        for bill in bills:
            attempts = ", ".join(
                f"{attempt['target']} {attempt['outcome']}"
                for attempt in bill["attempts"]
            )
            key = bill.get("key") or ""
            echo(
                f"  {bill['request']:<40} {key:<14} cost {bill['cost']:.4f}  {attempts}"
            )
        if len(bills) != 3:
            raise DemoError(
                f"expected one bill for each of three requests, found {len(bills)}"
            )


def show_usage(fleet: Fleet) -> None:
    """Print how to send requests to a fleet that keeps running."""
    address = fleet.entries[0].address
    key = make_caller_key(WORKSPACE)
    echo("\nentries: " + "  ".join(str(entry.address) for entry in fleet.entries))
    echo(f"operator key: {OPERATOR_KEY}\ncaller key: {key}\n")
    echo(f"curl http://{address}/v1/addresses")
    echo(
        f"curl http://{address}/v1/chat/completions \\\n"
        f"  -H 'Authorization: Bearer {key}' \\\n"
        """  -d '{"model": "reading", "messages": """
        """[{"role": "user", "content": "Hello"}]}'"""
    )
    echo(
        f"python -c \"from openai import OpenAI; c = OpenAI(api_key='{key}', "
        f"base_url='http://{address}/v1'); print(c.chat.completions.create("
        "model='reading', messages=[{'role': 'user', 'content': 'Hello'}])"
        '.choices[0].message.content)"'
    )
    echo("\nstays up until Ctrl-C")


@command()
@option("--text", type=PathType(path_type=Path, exists=True), help="Text to send.")
@option("--stay", is_flag=True, help="Stay up until Ctrl-C.")
def main(text: Path | None, stay: bool) -> None:
    """Start a local fleet, send a few requests, and stop it."""
    plan = convert(yaml.decode((EXAMPLES / "fleet.yaml").read_bytes()), type=FleetPlan)
    with (
        TemporaryDirectory(prefix="bergamotwood-") as folder,
        Fleet(plan, Path(folder)) as fleet,
    ):
        try:
            _demonstrate(fleet, text, stay)
        except FleetError as error:
            raise DemoError(str(error))


def _demonstrate(fleet: Fleet, text: Path | None, stay: bool) -> None:
    """Start a fleet, run the demonstration on it and stop it."""
    fleet.start()
    echo(f"started {len(fleet.members)} processes")
    demo = Demo(fleet)
    demo.apply_ticket(EXAMPLES / "ticket-1.yaml")
    demo.run(read_chapter(text))
    if stay:
        show_usage(fleet)
        wait_for_stop()
    exit_codes = fleet.stop()
    failed = {name: code for name, code in exit_codes.items() if code != 0}
    if failed:
        raise DemoError(f"processes did not shut down gracefully: {failed}")
    echo(f"\nstopped {len(exit_codes)} processes gracefully")


if __name__ == "__main__":
    main()
