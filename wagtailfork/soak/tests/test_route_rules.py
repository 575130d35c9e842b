"""Refusals of proper requests break a rule, whatever happened beside them."""

import testtools

from ..excuses import Disruptions
from ..extra_routes import ExtraRoute
from ..record import RequestRecord
from ..route_rules import HEAL_S, MIN_JUDGED, RouteRules
from ..timed_rules import TimedRules

VM = 'a:1'
ACKED_S = 10.0
KNOWN_S = 12.5  # configuration_limit_ms later
REMOVED_S = 30.0
DISTURBED_S = 14.0


def make_rules(*, keyed: bool = False) -> TimedRules:
    """Return rules for one route that came and went."""
    versions = [(ACKED_S - 0.1, 'pay'), (REMOVED_S, '')]
    route = ExtraRoute('extra0', versions, acked_s=ACKED_S, removed_s=REMOVED_S)
    routes = RouteRules(
        {'extra0': route}, keyed=keyed, disturbed_until_s=DISTURBED_S
    )
    return TimedRules(versions=[(0, 'pay')], routes=routes)


def make_request(
    status: int,
    sent_s: float,
    answered_s: float | None = None,
    route: str = 'extra0',
) -> RequestRecord:
    """Return the record of a request that was answered."""
    return RequestRecord(
        request_id='extra0-1',
        kind='extra' if route else 'look',
        gateway=VM,
        sent_s=sent_s,
        deadline_s=1,
        route=route,
        status=status,
        answered_s=sent_s + 0.1 if answered_s is None else answered_s,
    )


def judge(
    rules: TimedRules,
    *requests: RequestRecord,
    gateway: Disruptions | None = None,
) -> list[str]:
    """Return the rules that requests broke."""
    records = {str(number): seen for number, seen in enumerate(requests)}
    found = rules.judge(records, {VM: gateway or Disruptions()})
    return [rule for rule, _ in found]


class TestDenied(testtools.TestCase):
    """Own answers that blame the caller of a proper request."""

    def test_blames(self) -> None:
        """Each redirection and client error is one, but for three."""
        for status in (300, 301, 308, 400, 401, 404, 413, 431, 499):
            seen = make_request(status, KNOWN_S)
            self.assertEqual(['DENIED'], judge(make_rules(), seen), f'{status}')

    def test_other_answers(self) -> None:
        """Successes, failures and refusals that may be repeated are none."""
        for status in (0, 200, 408, 421, 429, 500, 502, 503, 504):
            seen = make_request(status, KNOWN_S)
            self.assertEqual([], judge(make_rules(), seen), f'{status}')

    def test_route_that_may_not_be_known(self) -> None:
        """The request was sent within the limit."""
        seen = make_request(404, KNOWN_S - 0.01, KNOWN_S + 1)
        self.assertEqual([], judge(make_rules(), seen))

    def test_route_that_may_be_away(self) -> None:
        """The answer came after a version without the route was sent."""
        for sent_s, answered_s in ((29.9, REMOVED_S), (30.1, 30.2)):
            seen = make_request(404, sent_s, answered_s)
            self.assertEqual([], judge(make_rules(), seen))

    def test_just_before_the_removal(self) -> None:
        """The answer came before a version without the route was sent."""
        seen = make_request(404, 29.8, 29.9)
        self.assertEqual(['DENIED'], judge(make_rules(), seen))

    def test_unacknowledged_route(self) -> None:
        """The version that adds the route was never acknowledged."""
        rules = make_rules()
        rules.routes = RouteRules({'extra0': ExtraRoute('extra0')})
        self.assertEqual([], judge(rules, make_request(404, 1000)))

    def test_nothing_excuses(self) -> None:
        """The gateway was frozen and stopped, and the store was away."""
        rules = make_rules()
        rules.store.add_trouble(0, 100)
        gateway = Disruptions(troubles=[(0, 100)], stops=[KNOWN_S])
        seen = make_request(404, KNOWN_S)
        self.assertEqual(['DENIED'], judge(rules, seen, gateway=gateway))

    def test_lasting_routes(self) -> None:
        """A route of all versions is always known, but keys may not be."""
        seen = make_request(404, 1, route='')
        self.assertEqual(['DENIED'], judge(make_rules(), seen))
        self.assertEqual([], judge(make_rules(keyed=True), seen))
        extra = make_request(404, KNOWN_S)
        self.assertEqual(['DENIED'], judge(make_rules(keyed=True), extra))


class TestUnhealed(testtools.TestCase):
    """Gateways that don't serve the newest route."""

    def _requests(
        self, status: int, sent_s: float, count: int = MIN_JUDGED
    ) -> list[RequestRecord]:
        return [make_request(status, sent_s) for _ in range(count)]

    def test_route_is_not_served(self) -> None:
        """It is refused, or not answered, after the bound."""
        for status in (503, 504, 0):
            requests = self._requests(status, DISTURBED_S + HEAL_S)
            self.assertEqual(['UNHEALED'], judge(make_rules(), *requests))

    def test_route_is_served(self) -> None:
        """It is served, but for refusals of servers."""
        at_s = DISTURBED_S + HEAL_S
        requests = [*self._requests(503, at_s), *self._requests(200, at_s)]
        self.assertEqual([], judge(make_rules(), *requests))

    def test_before_the_bound(self) -> None:
        """The links or the version are not old enough."""
        requests = self._requests(503, DISTURBED_S + HEAL_S - 0.01)
        self.assertEqual([], judge(make_rules(), *requests))
        rules = make_rules()
        rules.routes.disturbed_until_s = 0
        requests = self._requests(503, ACKED_S + HEAL_S - 0.01)
        self.assertEqual([], judge(rules, *requests))
        requests = self._requests(503, ACKED_S + HEAL_S)
        self.assertEqual(['UNHEALED'], judge(rules, *requests))

    def test_too_few(self) -> None:
        """A few requests show nothing."""
        requests = self._requests(503, 25, MIN_JUDGED - 1)
        self.assertEqual([], judge(make_rules(), *requests))

    def test_gateway_out_of_touch(self) -> None:
        """The gateway was killed shortly before."""
        gateway = Disruptions()
        gateway.add_trouble(24, 24)
        requests = self._requests(503, 25)
        self.assertEqual([], judge(make_rules(), *requests, gateway=gateway))
