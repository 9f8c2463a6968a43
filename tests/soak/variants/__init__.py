"""Programs with one fault each, which a soak must catch."""

from gevent import monkey


def run_patched(change):
    """Run the real program after a change to its modules."""
    monkey.patch_all(ssl=False, subprocess=False)
    change()
    from bergamotwood_platform.__main__ import main

    main()
