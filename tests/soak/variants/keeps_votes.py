"""Counts replicas that are gone for good toward the majority of the control group."""

from soak.variants import run_patched


def change():
    from bergamotwood_core import bootstrap

    bootstrap._choose_surplus = lambda state, now: None
    bootstrap._choose_departure = lambda state, now: None


if __name__ == "__main__":
    run_patched(change)
