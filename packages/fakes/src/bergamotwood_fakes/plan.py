"""Plans of local fleets."""

from msgspec import Struct, field

DATA_CENTRES = ("westlands", "upperhill", "karen", "embakasi")


class EnginePlan(Struct, forbid_unknown_fields=True):
    """A fake model engine; see the options of `bergamotwood_fakes.engine`."""

    name: str
    versions: tuple[str, ...]
    capacity: int = 16
    token_seconds: float = 0.004
    data_centre: str = ""
    checks_fencing: bool = True
    poison: str = ""
    leave_seconds: float = 2.0


class ServicePlan(Struct, forbid_unknown_fields=True):
    """A fake plain service; see the options of `bergamotwood_fakes.service`."""

    name: str
    service: str
    seconds: float = 0.01
    data_centre: str = ""
    leave_seconds: float = 2.0


class FleetPlan(Struct, forbid_unknown_fields=True):
    """A fleet of daemons and fakes on loopback.

    Parameters
    ----------
    entries, controls : int
        Number of daemons, and how many of them, from the first, are control
        replicas.
    data_centres : tuple of str
        Data centres, assigned round-robin.
    engines, services : tuple
        Fake endpoints.
    qualities : dict of str to float
        Mean quality by version.
    proxy : bool
        Whether all connections go through the fault-injecting proxy.
    rating_rate : float
        Rate limit of the rating service, in ratings per second.
    settings : dict
        Additional settings of the daemons.
    """

    entries: int = 3
    controls: int = 3
    data_centres: tuple[str, ...] = DATA_CENTRES
    engines: tuple[EnginePlan, ...] = ()
    services: tuple[ServicePlan, ...] = ()
    qualities: dict[str, float] = field(default_factory=dict)
    proxy: bool = False
    rating_rate: float = 50.0
    settings: dict = field(default_factory=dict)


def make_entry_name(number: int) -> str:
    """Name an entry by its number, counted from 1."""
    return f"entry-{number}"
