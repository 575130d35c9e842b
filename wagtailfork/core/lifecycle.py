"""Lifecycles: one state machine shared by all objects of a class."""

from collections.abc import Sequence
from typing import Any, Final

import attrs
from transitions import Machine

ANY_STATE: Final = '*'


@attrs.frozen
class Transition:
    """Define a transition from any of some states to another."""

    trigger: str
    sources: tuple[str, ...]
    dest: str


class Lifecycle:
    """Change the ``state`` attribute of objects by allowed transitions.

    One machine serves all objects, since a machine for each object would
    bind a method for every trigger to it.
    """

    def __init__(
        self, states: Sequence[str], transitions: Sequence[Transition]
    ) -> None:
        """Build the machine; the first state is the initial one."""
        self.initial = states[0]
        self._machine = Machine(
            model=None,
            states=list(states),
            initial=self.initial,
            auto_transitions=False,
        )
        for transition in transitions:
            self._machine.add_transition(
                transition.trigger,
                list(transition.sources),
                transition.dest,
            )

    def fire(self, model: Any, trigger: str) -> None:
        """Apply a trigger to ``model`` or raise ``MachineError``."""
        self._machine.events[trigger].trigger(model)
