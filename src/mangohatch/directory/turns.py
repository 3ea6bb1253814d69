"""Order in which hosts try to read the store while readings are missing."""

__all__ = ["count_first_turns", "find_first_turn"]

# The store may ignore several hosts in a row, so each turn has more hosts than the one
# before it. The number of turns with more than one is bounded: an outage of the whole
# store costs few calls at any number of hosts.
FIRST_TURN_SIZES = (1, 1, 2, 3, 4, 5)
FIRST_TURNS = tuple(
    turn for turn, size in enumerate(FIRST_TURN_SIZES) for _ in range(size)
)


def find_first_turn(rank: int) -> int:
    """
    Return the turn in which a host first tries to read.

    :param rank: number of hosts before it in the ranking
    :return: number of the turn, from 0
    """
    if rank < len(FIRST_TURNS):
        return FIRST_TURNS[rank]
    return len(FIRST_TURN_SIZES) + rank - len(FIRST_TURNS)


def count_first_turns(count: int) -> int:
    """
    Count the turns in which all hosts try once.

    :param count: number of ranked hosts, at least 1
    :return: number of turns; in later rounds each host has a turn of its own
    """
    return find_first_turn(count - 1) + 1
