"""The state machines that CI and ``make history`` run."""

import argparse

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.state.claims_machine import ClaimsMachine
from tests.state.config_machine import ConfigMachine

__all__ = ["MACHINES", "StateMachine", "run_machine"]


class StateMachine(ConfigMachine, ClaimsMachine):
    """Everything at once."""


MACHINES = (ConfigMachine, ClaimsMachine, StateMachine)


def run_machine(machine, *, examples, steps=30, seed_number=None):
    """
    Run a state machine without shrinking failures.

    :param machine: class of the state machine
    :param examples: number of histories
    :param steps: number of steps in one history
    :param seed_number: random seed; None runs the same histories each time
    """
    factory = machine if seed_number is None else seed(seed_number)(machine)
    run_state_machine_as_test(
        factory,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=seed_number is None,
            database=None,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--examples", type=int, default=500)
    options = parser.parse_args()
    for machine in MACHINES:
        run_machine(
            machine, examples=options.examples, steps=60, seed_number=options.seed
        )
    print(f"{options.examples} histories of seed {options.seed} hold")
