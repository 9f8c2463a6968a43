"""A local fleet of daemons and fakes, each in its own process."""

from collections.abc import Callable
from hashlib import sha256
from pathlib import Path
from shutil import rmtree

from gevent import joinall, sleep, spawn
from gevent.subprocess import Popen
from geventhttpclient import HTTPClient
from msgspec import json, yaml

from bergamotwood_core.messages import Address
from bergamotwood_fakes.launch import launch_logged, launch_module, read_start_message
from bergamotwood_fakes.managed_process import ManagedProcess
from bergamotwood_fakes.plan import EnginePlan, FleetPlan, ServicePlan, make_entry_name
from bergamotwood_fakes.port import HOST, PortChooser
from bergamotwood_fakes.record import Record, read_clock, read_records
from bergamotwood_fakes.rule import Rule

DAEMON_MODULE = "bergamotwood_daemon"
OPERATOR_KEY = "operator-key-of-the-fleet"
ENDPOINT_KEY = "endpoint-key-of-the-fleet"
ORDER_KEY = "order-key-of-the-fleet"
INSTANCE_KEY = "instance-key-of-the-fleet"
SESSION_SECRET = "session-secret-of-the-fleet"
POLL_SECONDS = 0.05
READY_TIMEOUT_SECONDS = 30.0


class FleetError(Exception):
    """An operation on the fleet failed or timed out."""


def hash_key(key: str) -> str:
    """Hash a key in the form that settings and tickets contain."""
    return sha256(key.encode()).hexdigest()


def wait_until(
    condition: Callable[[], bool],
    timeout_seconds: float,
    description: str = "condition",
) -> None:
    """Wait until a condition is true.

    Raises
    ------
    FleetError
        When it does not become true in time.
    """
    deadline = read_clock() + timeout_seconds
    while not condition():
        if read_clock() > deadline:
            raise FleetError(f"{description}: timed out after {timeout_seconds} s")
        sleep(POLL_SECONDS)


def send_http_request(
    address: Address, method: str, path: str, body: bytes = b"", key: str = ""
) -> tuple[int, bytes]:
    """Send one HTTP request.

    Returns
    -------
    tuple of int and bytes
        Status and body; status 0 when no response was received.
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
    """Starts and stops the processes of a plan and injects faults.

    Parameters
    ----------
    plan : FleetPlan
        Processes of the fleet and their options.
    folder : Path
        Folder for settings, data, records and logs.
    """

    def __init__(self, plan: FleetPlan, folder: Path) -> None:
        self.plan = plan
        self.members: dict[str, ManagedProcess] = {}
        self._folder = folder
        self._ports = PortChooser()
        self._proxy_process: ManagedProcess | None = None
        self._peer_addresses: dict[str, Address] = {}

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        for member in reversed(self.members.values()):
            member.kill()

    @property
    def entries(self) -> list[ManagedProcess]:
        """The daemons, all of which are entries."""
        names = {make_entry_name(number + 1) for number in range(self.plan.entries)}
        return [member for name, member in self.members.items() if name in names]

    def start(self) -> None:
        """Start all processes and wait until the daemons answer."""
        if self.plan.proxy:
            self._add_proxy()
        self._add_outside_services()
        self._add_entries()
        for engine in self.plan.engines:
            self._add_engine(engine)
        for service in self.plan.services:
            self._add_service(service)
        joinall([spawn(self.launch, name) for name in self.members], raise_error=True)
        for entry in self.entries:
            self.wait_for_status(entry)

    def launch(self, name: str) -> None:
        """Start one process and register its process id at the proxy."""
        member = self.members[name]
        member.launch()
        if self._proxy_process is not None and member is not self._proxy_process:
            process = {"name": name, "pid": member.process.pid}
            send_http_request(
                self._proxy_process.address, "POST", "/processes", json.encode(process)
            )

    def wait_for_status(self, entry: ManagedProcess) -> None:
        """Wait until a daemon answers a status request."""

        def has_answered() -> bool:
            if not entry.running:
                raise FleetError(
                    f"{entry.name} exited with status {entry.process.poll()}"
                )
            return self.read_status(entry) is not None

        wait_until(has_answered, READY_TIMEOUT_SECONDS, f"{entry.name} answers")

    def read_status(self, entry: ManagedProcess) -> dict | None:
        """Get `/v1/status` of a daemon, None when it does not answer."""
        status, body = send_http_request(
            entry.address, "GET", "/v1/status", key=OPERATOR_KEY
        )
        return json.decode(body) if status == 200 else None

    def stop(self) -> dict[str, int | None]:
        """Shut all processes down gracefully: endpoints, daemons, outside services.

        Returns
        -------
        dict of str to int or None
            Exit code by name, None for a process that did not exit in time.
        """
        daemons = self.entries
        fakes = [member for member in self.members.values() if member not in daemons]
        endpoints = [member for member in fakes if member.records is not None]
        outside_services = [member for member in fakes if member.records is None]
        exit_codes: dict[str, int | None] = {}
        for group in (endpoints, daemons, outside_services):
            running = [member for member in group if member.running]
            for member in running:
                member.terminate()
            for member in running:
                exit_codes[member.name] = member.wait()
        return exit_codes

    def lose_disk(self, name: str) -> None:
        """Kill a daemon and erase its data folder."""
        member = self.members[name]
        member.kill()
        rmtree(member.data_folder)
        member.data_folder.mkdir()

    def add_rule(self, rule: Rule) -> int:
        """Add a rule to the proxy and return its number."""
        _, body = send_http_request(
            self._proxy_process.address, "POST", "/rules", json.encode(rule)
        )
        return json.decode(body)["id"]

    def clear_rules(self) -> None:
        """Remove all rules from the proxy."""
        send_http_request(self._proxy_process.address, "DELETE", "/rules")

    def set_faults(self, name: str, faults: dict) -> None:
        """Inject faults into a fake endpoint, replacing earlier ones."""
        body = json.encode(faults)
        status, answer = send_http_request(
            self.members[name].address, "POST", "/fault", body
        )
        if status != 200:
            raise FleetError(f"{name} rejected its faults: {answer.decode()}")

    def read_records(self) -> list[Record]:
        """Read the records of all endpoints, ordered by time."""
        paths = [member.records for member in self.members.values() if member.records]
        records = [record for path in paths for record in read_records(path)]
        return sorted(records, key=lambda record: record.time)

    def publish_address(self, name: str, address: Address) -> Address:
        """Register an address at the proxy, if any, and return the public address."""
        if self._proxy_process is None:
            return address
        target = json.encode({"name": name, "address": address})
        _, body = send_http_request(
            self._proxy_process.address, "POST", "/targets", target
        )
        return Address(HOST, json.decode(body)["port"])

    def find_public_address(self, address: Address) -> Address:
        """Find the public address of the daemon that listens on an address."""
        for entry in self.entries:
            if entry.address == address:
                return entry.public
        return address

    def _add_process(
        self,
        name: str,
        address: Address,
        start: Callable[[], Popen],
        records: Path | None = None,
        data_folder: Path | None = None,
    ) -> ManagedProcess:
        """Add a process without starting it."""
        public = self.publish_address(name, address)
        member = ManagedProcess(name, address, public, start, records, data_folder)
        self.members[name] = member
        return member

    def _choose_address(self) -> Address:
        """Choose a loopback address with a free port."""
        return Address(HOST, self._ports.choose())

    def _launch_fake(self, module: str, options: list[str], name: str) -> Popen:
        """Start a fake and wait until it listens."""
        log = self._folder / f"{name}.log"
        process = launch_module(f"bergamotwood_fakes.{module}", options, log)
        read_start_message(process)
        return process

    def _add_proxy(self) -> None:
        """Start the proxy, through which all other processes are reached."""
        address = self._choose_address()
        options = ["--listen", str(address)]
        start = lambda: self._launch_fake("proxy", options, "proxy")  # noqa: E731
        proxy = self._add_process("proxy", address, start)
        proxy.launch()
        self._proxy_process = proxy

    def _add_outside_services(self) -> None:
        """Add the fake rating service and the fake weight store."""
        for name, extra_options in (
            ("rating", ["--rate", str(self.plan.rating_rate)]),
            ("weights", []),
        ):
            address = self._choose_address()
            options = ["--listen", str(address), *extra_options]
            self._add_process(
                name,
                address,
                lambda name=name, options=options: self._launch_fake(
                    name, options, name
                ),
            )

    def _add_entries(self) -> None:
        """Choose the replicas' addresses and add the daemons."""
        for number in range(self.plan.controls):
            name = make_entry_name(number + 1)
            self._peer_addresses[name] = self._choose_address()
        public_addresses = {
            name: self.publish_address(name, address)
            for name, address in self._peer_addresses.items()
        }
        replicas = [
            {"id": name, "host": address.host, "port": address.port}
            for name, address in public_addresses.items()
        ]
        for number in range(self.plan.entries):
            self._add_entry(number, replicas)

    def _add_entry(self, number: int, replicas: list[dict]) -> None:
        """Write the settings of one daemon and add it."""
        name = make_entry_name(number + 1)
        address = self._choose_address()
        peer_address = self._peer_addresses.get(name) or self._choose_address()
        folder = self._folder / name
        folder.mkdir()
        data_centres = self.plan.data_centres
        is_control = name in self._peer_addresses
        settings = {
            "instance": name,
            "data_centre": data_centres[number % len(data_centres)],
            "listen": {"host": address.host, "port": address.port},
            "peer_listen": {"host": peer_address.host, "port": peer_address.port},
            "roles": ["entry", "control"] if is_control else ["entry"],
            "replicas": replicas,
            "operator_key_hashes": [hash_key(OPERATOR_KEY)],
            "endpoint_key_hashes": [hash_key(ENDPOINT_KEY)],
            "instance_key": INSTANCE_KEY,
            "session_secret": SESSION_SECRET,
            "order_key": ORDER_KEY,
            "rating_address": _encode_address(self.members["rating"].public),
            **({"data_folder": str(folder)} if is_control else {}),
            **self.plan.settings,
        }
        path = self._folder / f"{name}.yaml"
        path.write_bytes(yaml.encode(settings))
        log = self._folder / f"{name}.log"
        start = lambda: launch_logged(  # noqa: E731
            DAEMON_MODULE, ["run", str(path)], log
        )
        self._add_process(
            name, address, start, data_folder=folder if is_control else None
        )

    def _add_engine(self, plan: EnginePlan) -> None:
        """Add a fake engine."""
        fencing_option = (
            "--checks-fencing" if plan.checks_fencing else "--no-checks-fencing"
        )
        options = [
            *_repeat_option("--version", plan.versions),
            *_repeat_option("--quality", _format_qualities(self.plan.qualities)),
            *("--capacity", str(plan.capacity)),
            *("--token-seconds", str(plan.token_seconds)),
            *("--weights", str(self.members["weights"].public)),
            *("--order-key", ORDER_KEY),
            *("--poison", plan.poison),
            fencing_option,
        ]
        self._add_endpoint("engine", plan, options)

    def _add_service(self, plan: ServicePlan) -> None:
        """Add a fake plain service."""
        options = ["--service", plan.service, "--seconds", str(plan.seconds)]
        self._add_endpoint("service", plan, options)

    def _add_endpoint(
        self, module: str, plan: EnginePlan | ServicePlan, options: list[str]
    ) -> None:
        """Add a fake endpoint that uses the entries in rotated order."""
        name = plan.name
        address = self._choose_address()
        number = len(self.members)
        data_centres = self.plan.data_centres
        records = self._folder / f"{name}.jsonl"
        entries = self.entries
        first_entry = number % len(entries)
        ordered_entries = entries[first_entry:] + entries[:first_entry]
        public = self.publish_address(name, address)
        all_options = [
            *("--id", name),
            *("--listen", str(address)),
            *("--public", str(public)),
            *("--endpoint-key", ENDPOINT_KEY),
            *(
                "--data-centre",
                plan.data_centre or data_centres[number % len(data_centres)],
            ),
            *("--leave-seconds", str(plan.leave_seconds)),
            *("--records", str(records)),
            *_repeat_option(
                "--entry", tuple(str(entry.public) for entry in ordered_entries)
            ),
            *options,
        ]
        self.members[name] = ManagedProcess(
            name,
            address,
            public,
            lambda: self._launch_fake(module, all_options, name),
            records,
        )


def _encode_address(address: Address) -> dict:
    """Encode an address for a settings file."""
    return {"host": address.host, "port": address.port}


def _repeat_option(option: str, values: tuple[str, ...]) -> list[str]:
    """Make command-line arguments that repeat an option for each value."""
    return [argument for value in values for argument in (option, value)]


def _format_qualities(qualities: dict[str, float]) -> tuple[str, ...]:
    """Format qualities as values of an engine's `--quality` option."""
    return tuple(f"{version}={value}" for version, value in qualities.items())
