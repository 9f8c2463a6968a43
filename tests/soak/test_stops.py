"""All programs of a system are told to stop at once, and have to exit by themselves."""

from os import getpid
from random import Random

import pytest
from bergamotwood_soak.checks import Bounds
from bergamotwood_soak.programs import System
from gevent import sleep

ROUNDS = 2
# The grace period, and time for a process to exit on a busy machine.
EXIT_SECONDS = 12.0
RUNNING_SECONDS = 2.5


@pytest.mark.parametrize("round_number", range(ROUNDS))
def test_every_program_exits_when_all_are_told_to_stop(tmp_path, round_number):
    subnet = f"127.{250 + round_number % 4}.{getpid() % 250}"
    module = "bergamotwood_platform"
    system = System(tmp_path, subnet, 3, 1, module, Bounds(), Random(round_number))
    system.start()
    try:
        sleep(RUNNING_SECONDS)
        assert all(program.process.running for program in system.programs)
        for program in system.programs:
            program.process.terminate()
        left = [
            program.name
            for program in system.programs
            if program.process.wait(EXIT_SECONDS) is None
        ]
        assert left == []
    finally:
        system.stop()
