"""An exhaustive walk: every interleaving of what can happen to a few members and duties.

The members' views are real `Ownership`s. A step is one of: a claim arrives, or is lost; a full exchange of
two members; a member dies, or starts again knowing nothing; a living member comes to hold another dead,
rightly or not, or finds that it lives. Messages, losses, deaths, restarts and wrong beliefs are bounded, so
the states are finitely many, and all of them are visited.

In each state, every duty must have a live holder, or there must be events pending that give it one: then the
state is *settled* (all that is pending arrives, all views of who lives become true, all exchange all) and
each duty must have exactly one holder, whose claim all others know and heed. A violation tells the steps
that led to it.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from ..duties.ownership import Claim, Held, Ownership

MEMBERS = ("a", "b", "c")
DUTIES = ("d1", "d2")
SETTLE_ROUNDS = 12
RANDOM = random.Random(0)  # draws times alone, which are no part of a state


@dataclass(slots=True, frozen=True)
class Post:
    """A claim on its way to one member."""

    to: str
    duty: str
    claim: Claim


@dataclass(slots=True, frozen=True)
class View:
    """One member's `Ownership`, but for times: whom it holds live, its best claims, what it holds."""

    live: frozenset[str]
    best: tuple[tuple[str, Claim], ...]
    held: tuple[tuple[str, Claim], ...]


@dataclass(slots=True, frozen=True)
class Budget:
    """What may still happen."""

    losses: int = 1
    deaths: int = 1
    restarts: int = 1
    errors: int = 1  # of holding a living member dead
    exchanges: int = 1


@dataclass(slots=True, frozen=True)
class World:
    up: frozenset[str]
    views: tuple[tuple[str, View], ...]
    posts: frozenset[Post]
    left: Budget

    def view(self, name: str) -> View:
        return dict(self.views)[name]

    def holders(self, duty: str) -> list[str]:
        return [n for n, view in self.views if n in self.up and duty in dict(view.held)]


class Broken(AssertionError):
    """A duty that nobody does, or two do, and nothing pending mends it; the steps that led there."""


@dataclass(slots=True)
class Walk:
    """`kind` is the class under test: the project's own, or one broken on purpose."""

    kind: type[Ownership] = Ownership
    left: Budget = field(default_factory=Budget)
    epoch_most: int = 6  # a story with later ones is one of these with more of the same
    seen: dict[World, tuple[World, str] | None] = field(default_factory=dict)
    settled: int = 0

    # One member's view, as the real thing and back.

    def _real(self, name: str, view: View) -> Ownership:
        real = self.kind(name, 1_000.0, RANDOM)
        real.duties = set(DUTIES)
        real.members = dict.fromkeys(view.live | {name}, 1.0)
        real.best = dict(view.best)
        real.held = {duty: Held(claim, 0.0) for duty, claim in view.held}
        return real

    def _frozen(self, real: Ownership) -> View:
        held = tuple(sorted((duty, item.claim) for duty, item in real.held.items()))
        return View(frozenset(real.members), tuple(sorted(real.best.items())), held)

    def _put(self, world: World, name: str, real: Ownership) -> World:
        """The world with this view, and with the claims that it has just made on their way to all others."""
        views = tuple((n, self._frozen(real) if n == name else view) for n, view in world.views)
        others = world.up - {name}
        told = {Post(to, duty, claim) for duty, claim in real.take_claims() for to in others}
        return replace(world, views=views, posts=world.posts | told)

    def first(self) -> World:
        """All are up and know of one another; nobody has claimed anything yet but is about to."""
        nobody = View(frozenset(MEMBERS), (), ())
        world = World(frozenset(MEMBERS), tuple((n, nobody) for n in MEMBERS), frozenset(), self.left)
        for name in MEMBERS:
            real = self._real(name, nobody)
            real.review(0.0)
            world = self._put(world, name, real)
        return world

    # What can happen.

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        left = world.left
        for post in world.posts:
            rest = replace(world, posts=world.posts - {post})
            yield (
                f"{post.to} hears {post.claim.owner}'s claim {post.claim.epoch} to {post.duty}",
                self._hear(rest, post),
            )
            if left.losses:
                less = replace(left, losses=left.losses - 1)
                yield f"lost: {post}", replace(rest, left=less)
        if left.exchanges:
            less = replace(left, exchanges=left.exchanges - 1)
            for one in sorted(world.up):
                for other in sorted(world.up - {one}):
                    if one < other:
                        met = self._exchange(self._exchange(world, one, other), other, one)
                        yield f"{one} and {other} exchange all", replace(met, left=less)
        for name in sorted(world.up):
            if left.deaths and len(world.up) > 1:
                yield f"{name} dies", self._die(world, name)
            if left.restarts:
                yield f"{name} starts again", self._restart(world, name)
            yield from self._beliefs(world, name)

    def _hear(self, world: World, post: Post) -> World:
        real = self._real(post.to, world.view(post.to))
        real.hear(post.duty, post.claim, None, 0.0)
        return self._put(world, post.to, real)

    def _exchange(self, world: World, one: str, other: str) -> World:
        """What one knows, the other hears."""
        real = self._real(other, world.view(other))
        for duty, claim in world.view(one).best:
            real.hear(duty, claim, None, 0.0)
        return self._put(world, other, real)

    def _die(self, world: World, name: str) -> World:
        posts = frozenset(post for post in world.posts if post.to != name)
        left = replace(world.left, deaths=world.left.deaths - 1)
        return replace(world, up=world.up - {name}, posts=posts, left=left)

    def _restart(self, world: World, name: str) -> World:
        """A new run that knows who is there and nothing of duties."""
        real = self._real(name, View(frozenset({name}), (), ()))
        real.set_members(dict.fromkeys(world.up, 1.0), 0.0)
        posts = frozenset(post for post in world.posts if post.to != name)
        left = replace(world.left, restarts=world.left.restarts - 1)
        return self._put(replace(world, posts=posts, left=left), name, real)

    def _beliefs(self, world: World, name: str) -> Iterator[tuple[str, World]]:
        live = world.view(name).live
        for other in MEMBERS:
            if other == name:
                continue
            if other in live and other not in world.up:
                yield f"{name} finds {other} dead", self._believe(world, name, live - {other})
            elif other in live and world.left.errors:
                left = replace(world.left, errors=world.left.errors - 1)
                wrong = self._believe(replace(world, left=left), name, live - {other})
                yield f"{name} wrongly holds {other} dead", wrong
            elif other not in live and other in world.up:
                yield f"{name} finds {other} alive", self._believe(world, name, live | {other})

    def _believe(self, world: World, name: str, live: frozenset[str]) -> World:
        real = self._real(name, world.view(name))
        real.set_members(dict.fromkeys(live, 1.0), 0.0)
        return self._put(world, name, real)

    # What must hold.

    def settle(self, world: World) -> World:
        """All that is pending comes about, again and again until nothing changes."""
        for _ in range(SETTLE_ROUNDS):
            before = world
            for name in sorted(world.up):
                if world.view(name).live != world.up:
                    world = self._believe(world, name, world.up)
            for post in sorted(world.posts, key=lambda p: (p.to, p.duty, p.claim)):
                world = self._hear(replace(world, posts=world.posts - {post}), post)
            for one in sorted(world.up):
                for other in sorted(world.up - {one}):
                    world = self._exchange(world, one, other)
            if world == before:
                break
        return world

    def check(self, world: World) -> None:
        """A state with a duty that no one live holds, and each one in which nothing is left to come."""
        orphaned = [duty for duty in DUTIES if not world.holders(duty)]
        if not orphaned and world.posts:
            return
        self.settled += 1
        end = self.settle(world)
        for duty in DUTIES:
            holders = end.holders(duty)
            if len(holders) != 1:
                raise Broken(f"{duty} is held by {holders or 'nobody'} after:\n" + self.story(world))
            claim = dict(end.view(holders[0]).held)[duty]
            if any(dict(end.view(name).best)[duty] != claim for name in end.up):
                raise Broken(f"not all heed the claim {claim} to {duty} after:\n" + self.story(world))

    def run(self, states_most: int = 2_000_000) -> int:
        """Visit every state; how many there are. `Broken` at the first that is wrong."""
        first = self.first()
        self.seen[first] = None
        front = [first]
        while front:
            world = front.pop()
            self.check(world)
            for said, after in self.steps(world):
                if after in self.seen or self._late(after):
                    continue
                self.seen[after] = (world, said)
                front.append(after)
                if len(self.seen) > states_most:
                    raise RuntimeError(f"more than {states_most} states")
        return len(self.seen)

    def _late(self, world: World) -> bool:
        return any(claim.epoch > self.epoch_most for _, view in world.views for _, claim in view.best)

    def story(self, world: World) -> str:
        """The steps that led to a state."""
        said = []
        came = self.seen[world]
        while came is not None:
            said.append(came[1])
            came = self.seen[came[0]]
        return "\n".join(reversed(said)) or "nothing"
