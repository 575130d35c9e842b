"""Compare incremental updates of the pool with a pool built at once."""

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
    """Return what determines routing, independent of the history."""
    return {
        each.name: (each.backend, each.state == 'draining')
        for each in pool.endpoints(SERVICE)
    }


class PoolTest(testtools.TestCase):
    """Test successive control states."""

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.lists(backends, max_size=6))
    def test_difference_agrees_with_whole(self, history: list[Any]) -> None:
        """Get the same endpoints from incremental and full updates."""
        incremental = Pool(NEAR)
        for version, present in enumerate(history):
            objects = {
                ('backend', name): StoredObject(version, '', item)
                for name, item in present.items()
            }
            state = ControlState(objects=objects)
            incremental.on_state(state)
            rebuilt = Pool(NEAR)
            rebuilt.on_state(state)
            self.assertEqual(view(rebuilt), view(incremental))

    def test_failing_server_changes_places(self) -> None:
        """Regression: an ejected healthy server kept a failing one in use."""
        scene = Scene(regions=(NEAR, NEAR))
        first, second = scene.pool.endpoints(SERVICE)
        for endpoint in (first, second):
            for _failure in range(EJECT_AFTER_FAILURES):
                scene.pool.record_failure(endpoint)
        self.assertEqual(('cold', 'ejected'), (first.state, second.state))
        scene.loop.close()

    def test_only_server_is_never_ejected(self) -> None:
        """Never eject the only server."""
        scene = Scene()
        only = scene.pool.endpoints(SERVICE)[0]
        for _failure in range(EJECT_AFTER_FAILURES):
            scene.pool.record_failure(only)
        self.assertEqual('warm', only.state)
        scene.loop.close()

    def test_rules_narrow_the_servers(self) -> None:
        """Admit only customers with a rule, to the failure domains it names."""
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
