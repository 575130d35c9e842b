"""Borrow the tokens of rates that many VMs spend together."""

import math
import random
from collections.abc import Iterable
from typing import Final

import attrs

from .shared_rate import DrawRow, GrantRow, Limits, RateLimit
from .token_stock import RETURN_S, TokenStock

REPEAT_S: Final = 0.09  # longer than a round trip between regions
GIVE_UP_S: Final = 1.0  # then another draw asks again
KEEP_ALIVE_S: Final = 0.3  # shorter than the silence that a lender notices
STOCK_S: Final = 0.25  # of the requests; more than a draw takes
MIN_STOCK: Final = 0.5
MIN_CHANGE: Final = 0.5  # tokens that are worth a row
MIN_TOKENS: Final = 0.01  # below it, nothing is left or owed
MAX_SURPLUS: Final = 2.0
IDLE_S: Final = 2.0  # without a request, after which tokens are returned
DEBT_LIFE_S: Final = 10.0  # twice the users' window
MAX_WAIT_S: Final = 1.0
# Rows of one datagram, which has to fit 1,400 bytes.
MAX_ROW_BYTES: Final = 1200
ROW_BYTES: Final = 24  # beyond the name
NUMBER_BITS: Final = 40  # so that a restarted VM uses other numbers


@attrs.define(eq=False)
class Draw:
    """Hold a draw that has no answer yet."""

    number: int
    rows: list[DrawRow]
    first_sent_s: float
    sent_s: float


@attrs.define(eq=False)
class RateBorrower:
    """Keep a stock of tokens of each rate that is in use, and spend it.

    A request may be spent while the stock is not negative, so that the first
    one needs no token yet; its debt is paid by the next draw. A larger debt is
    allowed while the lender has told of enough room.
    """

    limits: Limits = attrs.field(factory=dict)
    _stocks: dict[str, TokenStock] = attrs.field(factory=dict)
    _draws: dict[int, Draw] = attrs.field(factory=dict)
    _last_number: int = attrs.field(
        factory=lambda: random.getrandbits(NUMBER_BITS)  # noqa: S311
    )

    @property
    def size(self) -> int:
        """Count the rates of which state is kept."""
        return len(self._stocks)

    def apply_limits(self, limits: Limits) -> None:
        """Apply other limits; tokens of a lower one count for less."""
        for name, stock in list(self._stocks.items()):
            after = limits.get(name)
            if after is None:
                self._stocks.pop(name)
            elif after.rate < self.limits[name].rate:
                stock.scale(after.rate / self.limits[name].rate)
        self.limits = limits

    def spend(self, name: str, now: float) -> bool:
        """Spend a token; return whether there was one."""
        stock = self._stocks.get(name)
        if stock is None:
            stock = TokenStock(accrued_at_s=now)
            self._stocks[name] = stock
        stock.count_request(now)
        if stock.level(now) + stock.room(now) < 0:
            return False
        stock.spend()
        return True

    def holds(self, name: str, now: float) -> bool:
        """Return whether there is a token without a debt."""
        stock = self._stocks.get(name)
        return stock is not None and stock.level(now) >= 1

    def give_back(self, name: str, spent_at_s: float, now: float) -> None:
        """Return the token of a request that did not run."""
        stock = self._stocks.get(name)
        if stock is not None and now - spent_at_s <= RETURN_S:
            stock.add(1, spent_at_s)

    def wait_s(self, name: str, now: float) -> float:
        """Return the seconds until the next token is likely."""
        rate = self.limits[name].rate
        stock = self._stocks.get(name)
        owed = max(0, -stock.level(now)) if stock else 0
        own_rate = stock.lease if stock and stock.lease else rate
        return min(MAX_WAIT_S, max(1 / rate, owed / own_rate))

    def forget_draws(self) -> None:
        """Expect no answer to earlier draws, as the lender has changed."""
        self._draws.clear()
        for stock in self._stocks.values():
            stock.drawing = False

    def draws(self, now: float) -> list[Draw]:
        """Return the draws to send now, at most each 0.1 s."""
        self._drop_unanswered(now)
        repeated = [
            draw
            for draw in self._draws.values()
            if now - draw.sent_s >= REPEAT_S
        ]
        for draw in repeated:
            draw.sent_s = now
        rows = self._due_rows(now)
        return repeated + [self._start(batch, now) for batch in _batches(rows)]

    def accept(
        self, number: int, grants: Iterable[GrantRow], now: float
    ) -> float:
        """Add granted tokens to the stocks; return how many.

        Their time counts from the draw, which may have waited anywhere.
        """
        draw = self._draws.pop(number, None)
        if draw is None:
            return 0
        self._end(draw)
        total = 0.0
        for grant in grants:
            stock = self._stocks.get(grant.name)
            if stock is None:
                continue
            # What was accrued before the grant belongs to the earlier lease.
            stock.level(now)
            stock.add(grant.granted, draw.first_sent_s)
            stock.lease = grant.lease
            stock.told_room = grant.room
            stock.leased_at_s = draw.first_sent_s
            total += grant.granted
        return total

    def _drop_unanswered(self, now: float) -> None:
        for number, draw in list(self._draws.items()):
            if now - draw.first_sent_s >= GIVE_UP_S:
                self._draws.pop(number)
                self._end(draw)

    def _end(self, draw: Draw) -> None:
        for row in draw.rows:
            stock = self._stocks.get(row.name)
            if stock is not None:
                stock.drawing = False

    def _start(self, rows: list[DrawRow], now: float) -> Draw:
        self._last_number += 1
        draw = Draw(self._last_number, rows, now, now)
        self._draws[draw.number] = draw
        for row in rows:
            stock = self._stocks[row.name]
            stock.drawing = True
            stock.drawn_at_s = now
        return draw

    def _due_rows(self, now: float) -> list[DrawRow]:
        rows = []
        for name, stock in list(self._stocks.items()):
            if stock.drawing:
                continue
            idle = now - stock.used_at_s >= IDLE_S
            if idle:
                row = _last_row(name, stock, now)
            else:
                row = _row(name, stock, self.limits[name], now)
            if row is not None:
                rows.append(row)
            elif idle:
                self._stocks.pop(name)
        return rows


def _row(
    name: str, stock: TokenStock, limit: RateLimit, now: float
) -> DrawRow | None:
    """Return the row of a rate in use, None if it has to draw nothing."""
    level = stock.level(now)
    demand = stock.demand(now)
    wanted = target_stock(min(demand, limit.rate)) - level
    if wanted < -MAX_SURPLUS:
        wanted = -stock.remove(-wanted)
    elif wanted < MIN_CHANGE and now - stock.drawn_at_s < KEEP_ALIVE_S:
        return None
    else:
        wanted = max(0, wanted)
    return DrawRow(
        name=name,
        stock=stock.level(now),
        wanted=wanted,
        demand=demand,
        lease=stock.valid_lease(now),
    )


def _last_row(name: str, stock: TokenStock, now: float) -> DrawRow | None:
    """Return all tokens or ask for what is owed; None if nothing is left."""
    level = stock.level(now)
    forgiven = level < 0 and now - stock.used_at_s >= DEBT_LIFE_S
    if forgiven or (abs(level) < MIN_TOKENS and not stock.lease):
        return None
    wanted = -stock.remove(level) if level > 0 else -level
    stock.lease = 0
    return DrawRow(name=name, stock=min(0, level), wanted=wanted, demand=0)


def target_stock(demand: float) -> float:
    """Return the tokens to keep for a rate of requests, with its variation.

    >>> target_stock(0), target_stock(16)
    (0.5, 6.0)
    """
    expected = demand * STOCK_S
    return max(MIN_STOCK, expected + math.sqrt(expected))


def _batches(rows: list[DrawRow]) -> Iterable[list[DrawRow]]:
    """Divide rows among datagrams."""
    batch: list[DrawRow] = []
    size = 0
    for row in rows:
        row_size = ROW_BYTES + len(row.name.encode())
        if batch and size + row_size > MAX_ROW_BYTES:
            yield batch
            batch = []
            size = 0
        batch.append(row)
        size += row_size
    if batch:
        yield batch
