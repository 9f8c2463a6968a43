"""Programs with one deliberate fault each, which a soak must detect."""

from gevent import monkey


def run_patched(change):
    """Run the real program after `change` has patched its modules."""
    monkey.patch_all(ssl=False, subprocess=False)
    change()
    from bergamotwood_platform.__main__ import main

    main()
