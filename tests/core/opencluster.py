"""A group with open membership: replicas join, and take the place of lost ones."""

from core.logcluster import Cluster
from msgspec.structs import replace

INITIAL = 3
# As the gateway sets them.
ELECTION_SECONDS = 0.6
LEASE_SECONDS = 0.45


class OpenCluster(Cluster):
    """Three initial voters, and spare instances that ask to join.

    At most one instance at a time is gone or has an empty disk, as the users'
    deployments promise; one may be gone for good.
    """

    # A replica that joins must be able to catch up with a log that goes on.
    part_bytes = 100_000
    snapshot_entries = 100
    kept_entries = 50

    def __init__(self, seed, spares=1, **options):
        self.gone = set()
        self.formed = False
        super().__init__(seed, size=INITIAL + spares, **options)

    def make_settings(self, node):
        return replace(
            super().make_settings(node),
            initial_voters=self.names[:INITIAL],
            forms_group=not node.lost_disks and node.disk.genesis is None,
            open_membership=True,
            election_seconds=ELECTION_SECONDS,
            lease_seconds=LEASE_SECONDS,
        )

    def start(self, node):
        if node.instance not in self.gone:
            super().start(node)

    def _may_lose_disk(self, node):
        """Whether all others are members, so that one disk at a time is lost."""
        if not self.committed:
            return False
        running = [other for other in self.nodes.values() if other.replica is not None]
        if not running:
            return False
        newest = max(running, key=lambda other: other.replica.commit)
        held = {member.replica for member in newest.replica.membership.members}
        return all(other.disk.replica in held for other in self.nodes.values())

    def remove(self, node):
        """Take an instance away for good."""
        self.gone.add(node.instance)
        self.crash(node)
        self.note(f"{node.instance} is-removed")

    def find_membership(self):
        """Return the newest membership, once there is a leader."""
        limit = self.now + 10.0
        while self.find_leader() is None and self.now < limit:
            self.step()
        return self.find_leader().replica.membership

    def list_voters(self):
        """Return the instances that vote, as the leader knows them."""
        members = self.find_membership().members
        return {member.instance for member in members if member.voting}
