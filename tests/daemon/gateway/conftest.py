import pytest
from daemon.gateway.desk import Desk


@pytest.fixture
def make_desk():
    desks = []

    def make(configuration=None, learn=True, **endpoints):
        desk = Desk(configuration, **endpoints)
        desks.append(desk)
        return desk.learn() if learn else desk

    yield make
    for desk in desks:
        desk.stop()
