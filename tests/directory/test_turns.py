"""Tests of the order in which hosts try to read the store."""

from mangohatch.directory.turns import count_first_turns, find_first_turn
from tests.functions import function_tests

load_tests = function_tests(__name__)


def hosts_by_turn(count):
    turns = [find_first_turn(rank) for rank in range(count)]
    assert turns == sorted(turns)
    return [turns.count(turn) for turn in range(count_first_turns(count))]


def test_first_host_reads_alone_and_the_second_one_after_it():
    assert hosts_by_turn(2) == [1, 1]


def test_seven_hosts_have_tried_after_four_turns():
    assert sum(hosts_by_turn(17)[:4]) == 7


def test_no_turn_is_empty_at_any_size():
    for count in range(1, 400):
        assert 0 not in hosts_by_turn(count), count


def test_shared_turns_are_few_at_any_size():
    for count in (17, 136, 311):
        assert max(hosts_by_turn(count)) == 5
        assert sum(size > 1 for size in hosts_by_turn(count)) <= 4
