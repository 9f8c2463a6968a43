"""What a local fleet is made of."""

from msgspec import Struct, field

DATA_CENTRES = ("westlands", "upperhill", "karen", "embakasi")


class EnginePlan(Struct, forbid_unknown_fields=True):
    """A model engine stand-in; see the options of `bergamotwood_fakes.engine`."""

    name: str
    versions: tuple[str, ...]
    capacity: int = 16
    token_seconds: float = 0.004
    data_centre: str = ""
    checks_fencing: bool = True
    poison: str = ""
    leave_seconds: float = 2.0


class ServicePlan(Struct, forbid_unknown_fields=True):
    """A plain service stand-in; see the options of `bergamotwood_fakes.service`."""

    name: str
    service: str
    seconds: float = 0.01
    data_centre: str = ""
    leave_seconds: float = 2.0


class FleetPlan(Struct, forbid_unknown_fields=True):
    """A fleet of daemons and stand-ins on loopback.

    Parameters
    ----------
    entries, controls : int
        Daemons, and how many of them, the first ones, are control replicas.
    data_centres : tuple of str
        Taken in turn.
    engines, services : tuple
        Stand-ins that announce themselves.
    qualities : dict of str to float
        Mean quality of versions.
    proxy : bool
        Whether all connections go through the fault-injecting proxy.
    rating_rate : float
        Ratings a second that the rating service allows.
    settings : dict
        Further settings of the daemons.
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


def name_entry(number: int) -> str:
    """Name of an entry instance, counted from 1."""
    return f"entry-{number}"
