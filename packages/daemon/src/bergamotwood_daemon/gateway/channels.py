"""gRPC channels to other daemons, opened at first use."""

from bergamotwood_core.ids import InstanceId
from bergamotwood_core.messages import parse_address
from bergamotwood_daemon.peer import PeerChannel, ReplicationSender

# Gateway daemons use no key among themselves: the operators of the fleet isolate
# the network between them.
NO_KEY = ""


class PeerChannels:
    """One channel to each daemon, used for calls of one kind."""

    def __init__(self) -> None:
        self._channels: dict[InstanceId, PeerChannel] = {}

    def get(self, instance: InstanceId) -> PeerChannel:
        """Return the channel to a daemon."""
        channel = self._channels.get(instance)
        if channel is None:
            channel = PeerChannel(parse_address(instance), NO_KEY)
            self._channels[instance] = channel
        return channel

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()


class ReplicationSenders:
    """Senders of replication messages, created at first use."""

    def __init__(self) -> None:
        self._channels = PeerChannels()
        self._senders: dict[InstanceId, ReplicationSender] = {}

    def get(self, instance: InstanceId) -> ReplicationSender:
        """Return the sender to a replica."""
        sender = self._senders.get(instance)
        if sender is None:
            sender = ReplicationSender(self._channels.get(instance))
            self._senders[instance] = sender
        return sender

    def stop(self) -> None:
        """Stop all senders and close their channels."""
        for sender in self._senders.values():
            sender.stop()
        self._channels.close()
