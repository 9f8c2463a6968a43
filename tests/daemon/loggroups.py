"""Log groups in one process, connected by a transport in memory."""

from random import Random
from time import monotonic

from gevent import sleep, spawn
from msgspec.msgpack import decode, encode

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import InstanceId
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.groupsettings import GroupSettings

NAMES = (InstanceId("a"), InstanceId("b"), InstanceId("c"))


class ListMachine:
    """State machine that keeps every command."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return b"%d:" % index + command

    def snapshot(self):
        return encode(self.commands)

    def restore(self, snapshot):
        self.commands = decode(snapshot)


class MemoryTransport:
    """Delivers within the process, except from or to isolated instances."""

    def __init__(self, source, groups, isolated):
        self.source = source
        self.groups = groups
        self.isolated = isolated

    def send(self, target, body):
        if self.source in self.isolated or target in self.isolated:
            return
        spawn(self._deliver, target, body)

    def _deliver(self, target, body):
        group = self.groups.get(target)
        if group is not None:
            group.receive(body)


class Cluster:
    """The replicas of one group."""

    def __init__(self, folder, names=NAMES, **settings):
        self.folder = folder
        self.names = names
        self.settings = settings
        self.groups = {}
        self.machines = {}
        self.isolated = set()

    def start(self, name, machine=None):
        settings = GroupSettings(
            name,
            self.names,
            self.folder / name,
            **{
                "tick_seconds": 0.01,
                "heartbeat_seconds": 0.05,
                "election_seconds": 0.6,
                "lease_seconds": 0.5,
                **self.settings,
            },
        )
        self.machines[name] = machine or ListMachine()
        transport = MemoryTransport(name, self.groups, self.isolated)
        group = LogGroup(
            "control",
            settings,
            self.machines[name],
            transport,
            read_clock,
            Random(name),
        )
        group.start()
        self.groups[name] = group

    def start_all(self):
        for name in self.names:
            self.start(name)
        return self.wait_for_leader()

    def stop(self, name, handover=False):
        self.groups[name].stop(handover)
        del self.groups[name]

    def stop_all(self):
        for name in list(self.groups):
            self.stop(name)

    def wait_for_leader(self):
        wait_until(lambda: self.find_leader() is not None)
        return self.find_leader()

    def find_leader(self):
        for group in self.groups.values():
            if group.is_leader and group.measure_age(read_clock()) < 1.0:
                return group
        return None


def read_clock():
    return Seconds(monotonic())


def wait_until(condition, seconds=20.0):
    deadline = monotonic() + seconds
    while not condition():
        if monotonic() > deadline:
            raise AssertionError(f"condition not met within {seconds} s")
        sleep(0.01)
