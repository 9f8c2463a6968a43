from bergamotwood_fakes.answer import check_answer, compute_quality, make_answer

MESSAGES = [{"role": "user", "content": "a letter from Mrs Otieno"}]


def test_answer_is_a_function_of_version_and_prompt():
    first = make_answer("small:1", MESSAGES, 0.8, 12)
    assert first == make_answer("small:1", MESSAGES, 0.8, 12)
    assert first != make_answer("small:2", MESSAGES, 0.8, 12)
    assert len(first) == 12


def test_check_rejects_truncated_and_unrelated_answers():
    quality = compute_quality(0.8, MESSAGES)
    tokens = make_answer("small:1", MESSAGES, quality)
    other = [{"role": "user", "content": "another letter"}]
    assert check_answer("".join(tokens), MESSAGES, None)
    assert not check_answer("".join(tokens[:-1]), MESSAGES, None)
    assert not check_answer("".join(tokens), other, None)
