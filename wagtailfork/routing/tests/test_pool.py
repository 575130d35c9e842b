"""Compare the pool's changes by difference with a pool made anew."""

from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ...control.fold import ControlState, StoredObject
from ...control.objects import Backend, Rule
from ..endpoint import EJECT_AFTER_FAILURES
from ..pool import Pool
from .scene import NEAR, SERVICE, Scene

backends = st.dictionaries(
    st.sampled_from(('b1', 'b2', 'b3')),
    st.none()
    | st.builds(
        Backend,
        service=st.just(SERVICE),
        address=st.sampled_from(('10.0.0.1:80', '10.0.0.2:80')),
        region=st.just(NEAR),
        failure_domain=st.sampled_from(('hobart-a', 'hobart-b')),
        draining=st.booleans(),
    ),
)


def view(pool: Pool) -> dict[str, Any]:
    """Give what decides routing, whatever the history."""
    return {
        each.name: (each.backend, each.state == 'draining')
        for each in pool.endpoints(SERVICE)
    }


class PoolTest(testtools.TestCase):
    """Check states taken one after another."""

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.lists(backends, max_size=6))
    def test_difference_agrees_with_whole(self, history: list[Any]) -> None:
        """Reach the same endpoints by steps and at once."""
        stepped = Pool(NEAR)
        for number, present in enumerate(history):
            objects = {
                ('backend', name): StoredObject(number, '', item)
                for name, item in present.items()
            }
            state = ControlState(objects=objects)
            stepped.on_state(state)
            whole = Pool(NEAR)
            whole.on_state(state)
            self.assertEqual(view(whole), view(stepped))

    def test_failing_server_changes_places(self) -> None:
        """Regression: a healthy ejected server kept a failing one in."""
        scene = Scene(regions=(NEAR, NEAR))
        first, second = scene.pool.endpoints(SERVICE)
        for endpoint in (first, second):
            for _failure in range(EJECT_AFTER_FAILURES):
                scene.pool.note_failure(endpoint)
        self.assertEqual(('cold', 'ejected'), (first.state, second.state))
        scene.loop.close()

    def test_only_server_is_never_ejected(self) -> None:
        """Keep the one server that there is."""
        scene = Scene()
        only = scene.pool.endpoints(SERVICE)[0]
        for _failure in range(EJECT_AFTER_FAILURES):
            scene.pool.note_failure(only)
        self.assertEqual('warm', only.state)
        scene.loop.close()

    def test_rules_narrow_the_servers(self) -> None:
        """Admit only named customers, to the failure domains named."""
        objects: dict[Any, StoredObject] = {}
        for name, domain in (('b1', 'hobart-a'), ('b2', 'hobart-b')):
            backend = Backend(
                service=SERVICE,
                address='10.0.0.1:80',
                region=NEAR,
                failure_domain=domain,
            )
            objects['backend', name] = StoredObject(1, '', backend)
        rule = Rule(
            customer='kiosk',
            service=SERVICE,
            failure_domains=('hobart-b',),
        )
        objects['rule', 'r'] = StoredObject(1, '', rule)
        pool = Pool(NEAR)
        pool.on_state(ControlState(objects=objects))
        found = pool.allowed('kiosk', SERVICE) or []
        self.assertEqual(['b2'], [each.name for each in found])
        self.assertIsNone(pool.allowed('clerk', SERVICE))
