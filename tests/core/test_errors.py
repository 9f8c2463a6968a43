from bergamotwood_core.errors import HTTP_STATUS, Code


def test_every_code_has_a_status():
    assert set(HTTP_STATUS) == set(Code)
