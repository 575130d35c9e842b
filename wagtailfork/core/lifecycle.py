"""Lifecycles on one shared state machine for all objects of a class."""

from collections.abc import Sequence
from typing import Any, Final

import attrs
from transitions import Machine

ANY_STATE: Final = '*'


@attrs.frozen
class Step:
    """Allow one trigger to move from some states to another."""

    trigger: str
    sources: tuple[str, ...]
    dest: str


class Lifecycle:
    """Move objects with a ``state`` attribute along allowed steps.

    A machine of its own for each object would bind every trigger to it;
    here an object carries only its state.
    """

    def __init__(self, states: Sequence[str], steps: Sequence[Step]) -> None:
        """Build the machine; the first state is the initial one."""
        self.initial = states[0]
        self._machine = Machine(
            model=None,
            states=list(states),
            initial=self.initial,
            auto_transitions=False,
        )
        for step in steps:
            self._machine.add_transition(
                step.trigger,
                list(step.sources),
                step.dest,
            )

    def fire(self, model: Any, trigger: str) -> None:
        """Move ``model``, or raise ``transitions.MachineError``."""
        self._machine.events[trigger].trigger(model)
