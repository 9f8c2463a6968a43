"""A local fleet of daemons and stand-ins, each a process of its own."""

from collections.abc import Callable
from hashlib import sha256
from pathlib import Path
from shutil import rmtree

from gevent import joinall, sleep, spawn
from gevent.subprocess import Popen
from geventhttpclient import HTTPClient
from msgspec import json, yaml

from bergamotwood_core.messages import Address
from bergamotwood_fakes.launch import launch_logged, launch_module, read_started
from bergamotwood_fakes.member import Member
from bergamotwood_fakes.plan import EnginePlan, FleetPlan, ServicePlan, name_entry
from bergamotwood_fakes.port import HOST, PortChooser
from bergamotwood_fakes.record import Record, read_clock, read_records
from bergamotwood_fakes.rule import Rule

DAEMON_MODULE = "bergamotwood_daemon"
OPERATOR_KEY = "operator-key-of-the-fleet"
ENDPOINT_KEY = "endpoint-key-of-the-fleet"
ORDER_KEY = "order-key-of-the-fleet"
INSTANCE_KEY = "instance-key-of-the-fleet"
SESSION_SECRET = "session-secret-of-the-fleet"
CHECK_SECONDS = 0.05
READY_SECONDS = 30.0


class FleetError(Exception):
    """The fleet did not come to a state that was waited for."""


def hash_key(key: str) -> str:
    """Hash a key as settings and tickets hold it."""
    return sha256(key.encode()).hexdigest()


def wait_until(
    condition: Callable[[], bool], seconds: float, what: str = "condition"
) -> None:
    """Wait for a condition.

    Raises
    ------
    FleetError
        When it does not hold within the time.
    """
    deadline = read_clock() + seconds
    while not condition():
        if read_clock() > deadline:
            raise FleetError(f"{what}: not within {seconds} s")
        sleep(CHECK_SECONDS)


def call(
    address: Address, method: str, path: str, body: bytes = b"", key: str = ""
) -> tuple[int, bytes]:
    """Call an HTTP interface once.

    Returns
    -------
    tuple of int and bytes
        Status and body; status 0 when there was no answer.
    """
    client = HTTPClient(address.host, address.port, network_timeout=10.0)
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    try:
        response = client.request(method, path, body=body, headers=headers)
        return response.status_code, bytes(response.read())
    except Exception:
        return 0, b""
    finally:
        client.close()


class Fleet:
    """Starts, hurts and stops the processes of a plan.

    Parameters
    ----------
    plan : FleetPlan
        What there is.
    folder : Path
        Takes settings, data, records and logs.
    """

    def __init__(self, plan: FleetPlan, folder: Path) -> None:
        self.plan = plan
        self.members: dict[str, Member] = {}
        self._folder = folder
        self._ports = PortChooser()
        self._proxy: Member | None = None
        self._peers: dict[str, Address] = {}

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        for member in reversed(self.members.values()):
            member.kill()

    @property
    def entries(self) -> list[Member]:
        """The daemons."""
        names = {name_entry(number + 1) for number in range(self.plan.entries)}
        return [member for name, member in self.members.items() if name in names]

    def start(self) -> None:
        """Start everything and wait until the daemons listen."""
        if self.plan.proxy:
            self._add_proxy()
        self._add_platform()
        self._plan_entries()
        for engine in self.plan.engines:
            self._add_engine(engine)
        for service in self.plan.services:
            self._add_service(service)
        joinall([spawn(self.launch, name) for name in self.members], raise_error=True)
        for entry in self.entries:
            self.wait_for_status(entry)

    def launch(self, name: str) -> None:
        """Start one process, and let the proxy know it."""
        member = self.members[name]
        member.launch()
        if self._proxy is not None and member is not self._proxy:
            process = {"name": name, "pid": member.process.pid}
            call(self._proxy.address, "POST", "/processes", json.encode(process))

    def wait_for_status(self, entry: Member) -> None:
        """Wait until a daemon answers operators."""

        def answers() -> bool:
            if not entry.running:
                raise FleetError(f"{entry.name} ended with {entry.process.poll()}")
            return self.read_status(entry) is not None

        wait_until(answers, READY_SECONDS, f"{entry.name} answers")

    def read_status(self, entry: Member) -> dict | None:
        """Read `/v1/status` of a daemon, None when it does not answer."""
        status, body = call(entry.address, "GET", "/v1/status", key=OPERATOR_KEY)
        return json.decode(body) if status == 200 else None

    def stop(self) -> dict[str, int | None]:
        """Stop all by graceful shutdown, endpoints first.

        Returns
        -------
        dict of str to int
            Exit code by name.
        """
        daemons = self.entries
        others = [member for member in self.members.values() if member not in daemons]
        first = [member for member in others if member.records is not None]
        last = [member for member in others if member.records is None]
        codes: dict[str, int | None] = {}
        for group in (first, daemons, last):
            running = [member for member in group if member.running]
            for member in running:
                member.ask_to_stop()
            for member in running:
                codes[member.name] = member.wait()
        return codes

    def lose_disk(self, name: str) -> None:
        """Remove the data folder of a daemon that does not run."""
        member = self.members[name]
        member.kill()
        rmtree(member.data_folder)
        member.data_folder.mkdir()

    def add_rule(self, rule: Rule) -> int:
        """Put a rule in force at the proxy and return its number."""
        _, body = call(self._proxy.address, "POST", "/rules", json.encode(rule))
        return json.decode(body)["id"]

    def clear_rules(self) -> None:
        """Lift all rules of the proxy."""
        call(self._proxy.address, "DELETE", "/rules")

    def set_faults(self, name: str, faults: dict) -> None:
        """Set the faults of a stand-in."""
        body = json.encode(faults)
        status, answer = call(self.members[name].address, "POST", "/fault", body)
        if status != 200:
            raise FleetError(f"faults of {name}: {answer.decode()}")

    def read_records(self) -> list[Record]:
        """Read what all endpoints ran, in order of time."""
        paths = [member.records for member in self.members.values() if member.records]
        records = [record for path in paths for record in read_records(path)]
        return sorted(records, key=lambda record: record.time)

    def publish(self, name: str, address: Address) -> Address:
        """Give the address under which others reach a process."""
        if self._proxy is None:
            return address
        target = json.encode({"name": name, "address": address})
        _, body = call(self._proxy.address, "POST", "/targets", target)
        return Address(HOST, json.decode(body)["port"])

    def find_public(self, address: Address) -> Address:
        """Give the public address of a daemon that listens at an address."""
        for entry in self.entries:
            if entry.address == address:
                return entry.public
        return address

    def _add(
        self,
        name: str,
        address: Address,
        start: Callable[[], Popen],
        records: Path | None = None,
        data_folder: Path | None = None,
    ) -> Member:
        """Add a member that is not started yet."""
        public = self.publish(name, address)
        member = Member(name, address, public, start, records, data_folder)
        self.members[name] = member
        return member

    def _choose_address(self) -> Address:
        """Choose a free address."""
        return Address(HOST, self._ports.choose())

    def _launch_standin(self, module: str, options: list[str], name: str) -> Popen:
        """Start a stand-in and wait until it listens."""
        log = self._folder / f"{name}.log"
        process = launch_module(f"bergamotwood_fakes.{module}", options, log)
        read_started(process)
        return process

    def _add_proxy(self) -> None:
        """Start the proxy, through which all others are published."""
        address = self._choose_address()
        options = ["--listen", str(address)]
        start = lambda: self._launch_standin("proxy", options, "proxy")  # noqa: E731
        proxy = self._add("proxy", address, start)
        proxy.launch()
        self._proxy = proxy

    def _add_platform(self) -> None:
        """Add the rating service and the weight store."""
        for name, extra in (
            ("rating", ["--rate", str(self.plan.rating_rate)]),
            ("weights", []),
        ):
            address = self._choose_address()
            options = ["--listen", str(address), *extra]
            self._add(
                name,
                address,
                lambda name=name, options=options: self._launch_standin(
                    name, options, name
                ),
            )

    def _plan_entries(self) -> None:
        """Add the daemons and write their settings."""
        for number in range(self.plan.controls):
            name = name_entry(number + 1)
            self._peers[name] = self._choose_address()
        public = {name: self.publish(name, at) for name, at in self._peers.items()}
        replicas = [
            {"id": name, "host": at.host, "port": at.port}
            for name, at in public.items()
        ]
        for number in range(self.plan.entries):
            self._add_entry(number, replicas)

    def _add_entry(self, number: int, replicas: list[dict]) -> None:
        """Add one daemon."""
        name = name_entry(number + 1)
        address = self._choose_address()
        peer = self._peers.get(name) or self._choose_address()
        folder = self._folder / name
        folder.mkdir()
        centres = self.plan.data_centres
        control = name in self._peers
        settings = {
            "instance": name,
            "data_centre": centres[number % len(centres)],
            "listen": {"host": address.host, "port": address.port},
            "peer_listen": {"host": peer.host, "port": peer.port},
            "roles": ["entry", "control"] if control else ["entry"],
            "replicas": replicas,
            "operator_key_hashes": [hash_key(OPERATOR_KEY)],
            "endpoint_key_hashes": [hash_key(ENDPOINT_KEY)],
            "instance_key": INSTANCE_KEY,
            "session_secret": SESSION_SECRET,
            "order_key": ORDER_KEY,
            "rating_address": _split(self.members["rating"].public),
            **({"data_folder": str(folder)} if control else {}),
            **self.plan.settings,
        }
        path = self._folder / f"{name}.yaml"
        path.write_bytes(yaml.encode(settings))
        log = self._folder / f"{name}.log"
        start = lambda: launch_logged(  # noqa: E731
            DAEMON_MODULE, ["run", str(path)], log
        )
        self._add(name, address, start, data_folder=folder if control else None)

    def _add_engine(self, plan: EnginePlan) -> None:
        """Add an engine stand-in."""
        fencing = "--checks-fencing" if plan.checks_fencing else "--no-checks-fencing"
        options = [
            *_repeat("--version", plan.versions),
            *_repeat("--quality", _list_qualities(self.plan.qualities)),
            *("--capacity", str(plan.capacity)),
            *("--token-seconds", str(plan.token_seconds)),
            *("--weights", str(self.members["weights"].public)),
            *("--order-key", ORDER_KEY),
            *("--poison", plan.poison),
            fencing,
        ]
        self._add_endpoint("engine", plan, options)

    def _add_service(self, plan: ServicePlan) -> None:
        """Add a plain service stand-in."""
        options = ["--service", plan.service, "--seconds", str(plan.seconds)]
        self._add_endpoint("service", plan, options)

    def _add_endpoint(
        self, module: str, plan: EnginePlan | ServicePlan, options: list[str]
    ) -> None:
        """Add a stand-in that announces itself."""
        name = plan.name
        address = self._choose_address()
        number = len(self.members)
        centres = self.plan.data_centres
        records = self._folder / f"{name}.jsonl"
        entries = self.entries
        turn = number % len(entries)
        ordered = entries[turn:] + entries[:turn]
        public = self.publish(name, address)
        everything = [
            *("--id", name),
            *("--listen", str(address)),
            *("--public", str(public)),
            *("--endpoint-key", ENDPOINT_KEY),
            *("--data-centre", plan.data_centre or centres[number % len(centres)]),
            *("--leave-seconds", str(plan.leave_seconds)),
            *("--records", str(records)),
            *_repeat("--entry", tuple(str(entry.public) for entry in ordered)),
            *options,
        ]
        self.members[name] = Member(
            name,
            address,
            public,
            lambda: self._launch_standin(module, everything, name),
            records,
        )


def _split(address: Address) -> dict:
    """Write an address as settings have it."""
    return {"host": address.host, "port": address.port}


def _repeat(option: str, values: tuple[str, ...]) -> list[str]:
    """Repeat an option for each value."""
    return [word for value in values for word in (option, value)]


def _list_qualities(qualities: dict[str, float]) -> tuple[str, ...]:
    """Write qualities as an engine's options have them."""
    return tuple(f"{version}={value}" for version, value in qualities.items())
