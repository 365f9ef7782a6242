"""Exclusive duties in virtual time: elector, candidate, fence, checker, and seeded schedules of faults."""

import random
from concurrent.futures import ProcessPoolExecutor

from gladewalk.leases.candidate import Candidate
from gladewalk.leases.configuration import LeaseTerms
from gladewalk.leases.dispatch import hear
from gladewalk.leases.fence import Act, Fence
from gladewalk.leases.history import Verdict, check
from gladewalk.leases.messages import (
    Ask,
    Grant,
    Refuse,
    Release,
    Sound,
    Standing,
    Vote,
    decode,
    encode,
)
from gladewalk.leases.outputs import GRANTS, Granted, Out, Save, Send, granted_of, pack
from gladewalk.leases.voter import Elector
from gladewalk.rehearsal.leasenet import Fault, World, play, play_skewed

TERMS = LeaseTerms()
SCHEDULES = 10_000


def granted(out: list[Out]) -> Granted:
    """What is saved before a grant that follows."""
    (save,) = out
    assert isinstance(save, Save) and save.space == GRANTS and save.value is not None
    assert isinstance(save.then[0], Send) and isinstance(save.then[0].message, Grant)
    return granted_of(save.value)


def lasting(elector: Elector, out: list[Out]) -> list[Out]:
    """What is done on a disk that takes all at once."""
    done: list[Out] = []
    for action in out:
        if isinstance(action, Save) and action.value is not None:
            elector.saved(action.key, action.value)
            done += action.then
        else:
            done.append(action)
    return done


def test_an_elector_grants_a_term_once_and_another_only_after_the_promise_and_its_margin() -> None:
    elector = Elector("e", TERMS, 0.0, {})
    assert isinstance(elector.ask(Ask("d", 1, "a", 1), 10.0)[0].message, Refuse)  # type: ignore[union-attr]
    out = elector.ask(Ask("d", 1, "a", 1), TERMS.promise_ms)
    assert granted(out) == Granted(1, "a")  # the grant is what follows the save, and nothing else is sent
    assert granted(elector.ask(Ask("d", 1, "a", 2), TERMS.promise_ms)) == Granted(1, "a")  # nor again before
    elector.saved("d", pack(Granted(1, "a")))
    (again,) = elector.ask(Ask("d", 1, "a", 3), TERMS.promise_ms)
    assert isinstance(again, Send) and isinstance(again.message, Grant)
    refused = elector.ask(Ask("d", 2, "b", 1), 2 * TERMS.promise_ms - 1.0)[0]
    assert isinstance(refused, Send) and isinstance(refused.message, Refuse)
    assert refused.message.highest == 1 and refused.message.holder == "a" and refused.message.left_ms == 1.0
    assert isinstance(elector.ask(Ask("d", 1, "b", 2), 2 * TERMS.promise_ms)[0].message, Refuse)  # type: ignore[union-attr]
    assert granted(elector.ask(Ask("d", 2, "b", 2), 2 * TERMS.promise_ms)) == Granted(2, "b")


def test_a_restarted_elector_keeps_its_terms_and_promises_nothing_new_for_a_whole_promise() -> None:
    elector = Elector("e", TERMS, 0.0, {"d": Granted(7, "a")})
    refused = elector.ask(Ask("d", 8, "b", 1), TERMS.promise_ms - 1.0)[0]
    assert isinstance(refused, Send) and isinstance(refused.message, Refuse) and refused.message.highest == 7
    renewed = elector.ask(Ask("d", 7, "a", 1), 1.0)[0]  # its one possible promise was to a: no harm in it
    assert isinstance(renewed, Send) and isinstance(renewed.message, Grant)
    assert isinstance(elector.ask(Ask("d", 7, "b", 2), 5_000.0)[0].message, Refuse)  # type: ignore[union-attr]


def test_a_release_frees_the_promise_at_once_and_a_named_successor_comes_first() -> None:
    elector = Elector("e", TERMS, -TERMS.promise_ms, {})
    elector.ask(Ask("d", 1, "a", 1), 0.0)
    assert elector.release(Release("d", 1, "x"), 1.0) == []  # not the holder: nothing
    elector.release(Release("d", 1, "a", to="c"), 1.0)
    assert isinstance(elector.ask(Ask("d", 2, "b", 1), 2.0)[0].message, Refuse)  # type: ignore[union-attr]
    assert granted(elector.ask(Ask("d", 2, "c", 1), 2.0)) == Granted(2, "c")


def settle(candidate: Candidate, electors: list[Elector], out: list[Out], now: float) -> None:
    """Every message and answer, without loss or delay."""
    waiting = list(out)
    while waiting:
        action = waiting.pop(0)
        if not isinstance(action, Send) or isinstance(action.message, Release):
            continue
        elector = next((e for e in electors if e.name == action.to), None)
        if isinstance(action.message, Ask | Sound):
            if elector is not None:
                waiting += lasting(elector, hear(elector, candidate, action.message, now))
        else:
            assert isinstance(action.message, Vote)
            waiting += hear(electors[0], candidate, action.message, now + 1.0)


def test_a_majority_gives_a_token_that_ends_a_margin_before_the_promises_and_renewals_keep_it() -> None:
    names = ("a", "b", "c")
    electors = [Elector(name, TERMS, -TERMS.promise_ms, {}) for name in names]
    candidate = Candidate("a", names, ("d",), TERMS, random.Random(1), 0.0)
    settle(candidate, electors[:2], candidate.tick(TERMS.retry_ms), TERMS.retry_ms)  # c is away: two suffice
    assert candidate.token("d", TERMS.retry_ms + 2.0) == 1
    assert candidate.token("d", TERMS.retry_ms + TERMS.hold_ms + 2.0) is None
    now = TERMS.retry_ms
    for _ in range(10):
        now += TERMS.renew_every_ms
        settle(candidate, electors[:2], candidate.tick(now), now)
    assert candidate.token("d", now + TERMS.hold_ms - 1.0) == 1
    assert candidate.token("d", now + TERMS.hold_ms + 2.0) is None


def test_sounding_out_binds_nobody_and_no_one_is_asked_while_a_majority_is_bound() -> None:
    names = ("a", "b", "c")
    candidate = Candidate("a", names, ("d",), TERMS, random.Random(1), 0.0)
    electors = [Elector(name, TERMS, -TERMS.promise_ms, {}) for name in names]
    for elector in electors[:2]:
        lasting(elector, elector.ask(Ask("d", 6, "z", 1), 0.0))
    settle(candidate, electors, candidate.tick(TERMS.retry_ms), TERMS.retry_ms)
    assert [e.promises["d"].holder for e in electors[:2]] == ["z", "z"] and not electors[2].promises
    left = TERMS.promise_ms - TERMS.retry_ms  # of both; no later than half a lease is it tried again
    assert left > TERMS.lease_ms / 2.0 and candidate.duties["d"].highest == 6
    later = candidate.next_due_ms()
    assert TERMS.lease_ms / 2.0 <= later - TERMS.retry_ms <= TERMS.lease_ms / 2.0 + TERMS.retry_ms
    settle(candidate, electors, candidate.tick(TERMS.promise_ms + TERMS.retry_ms), TERMS.promise_ms + 1.0)
    assert candidate.token("d", TERMS.promise_ms + TERMS.retry_ms + 2.0) == 7


def asked_of(candidate: Candidate, now: float) -> Ask:
    """A candidate's ask, after a majority said that it would grant it."""
    (sound, *_) = candidate.tick(now)
    assert isinstance(sound, Send) and isinstance(sound.message, Sound)
    number = sound.message.number
    assert candidate.standing(Standing("d", number, "a", 0, "", 0.0), now) == []
    (asked, *_) = candidate.standing(Standing("d", number, "b", 0, "", 0.0), now)
    assert isinstance(asked, Send) and isinstance(asked.message, Ask)
    return asked.message


def test_a_round_without_a_majority_hands_its_grants_back_and_asks_next_under_a_higher_term() -> None:
    names = ("a", "b", "c")
    candidate = Candidate("a", names, ("d",), TERMS, random.Random(1), 0.0)
    asked = asked_of(candidate, TERMS.retry_ms)
    candidate.grant(Grant("d", 1, "a", asked.number, "a"), TERMS.retry_ms)
    candidate.refuse(Refuse("d", asked.number, "b", 1, "b", 0.0), TERMS.retry_ms)
    back = candidate.tick(TERMS.retry_ms + TERMS.round_ms)
    assert back == [Send(e, Release("d", 1, "a")) for e in ("a", "c")]  # c may have granted, unheard
    assert asked_of(candidate, TERMS.retry_ms * 3 + TERMS.round_ms).term == 2


def test_a_holders_renewal_counts_however_late_its_answers_come_and_never_after_its_lease() -> None:
    names = ("a", "b", "c")
    candidate = Candidate("a", names, ("d",), TERMS, random.Random(1), 0.0)
    asked, now = asked_of(candidate, TERMS.retry_ms), TERMS.retry_ms
    for elector in ("a", "b"):
        candidate.grant(Grant("d", 1, "a", asked.number, elector), now)
    numbers = []
    for turn in (1, 2):
        (renewal, *_) = candidate.tick(now + turn * TERMS.renew_every_ms)
        assert isinstance(renewal, Send) and isinstance(renewal.message, Ask)
        numbers.append(renewal.message.number)
    for elector in ("b", "c"):  # answers to the first, after the second was sent
        candidate.grant(Grant("d", 1, "a", numbers[0], elector), now + 650.0)
    until = now + TERMS.renew_every_ms + TERMS.hold_ms
    assert candidate.token("d", until - 1.0) == 1
    out = candidate.tick(until)  # over: it has stopped, and frees who still hears it
    assert Send("b", Release("d", 1, "a")) in out
    candidate.grant(Grant("d", 1, "a", numbers[1], "b"), until + 1.0)
    candidate.grant(Grant("d", 1, "a", numbers[1], "c"), until + 1.0)
    assert candidate.token("d", until + 2.0) is None


def test_where_answers_take_long_rounds_wait_longer_but_never_a_whole_lease() -> None:
    candidate = Candidate("a", ("a", "b", "c"), ("d",), TERMS, random.Random(1), 0.0)
    (sound, *_) = candidate.tick(TERMS.retry_ms)
    assert isinstance(sound, Send) and isinstance(sound.message, Sound)
    late = TERMS.retry_ms + 300.0
    assert not [a for a in candidate.tick(late) if isinstance(a, Send) and isinstance(a.message, Ask)]
    candidate.standing(Standing("d", sound.message.number, "b", 0, "", 0.0), late)
    assert candidate._round_ms() == 450.0
    candidate.standing(Standing("d", sound.message.number, "c", 0, "", 0.0), late + 5_000.0)
    assert candidate._round_ms() == 0.6 * TERMS.lease_ms


def test_terms_that_let_a_grantor_promise_another_while_one_still_holds_are_refused() -> None:
    assert TERMS.fault() is None
    assert LeaseTerms(stop_margin_ms=0.0, grant_margin_ms=0.0).fault() == (
        "grant_margin_ms: too small for the drift; another could be promised while one still holds"
    )
    assert LeaseTerms(stop_margin_ms=1_000.0).fault() == "stop_margin_ms: leaves no time to hold"


def test_messages_go_through_their_encoding_unchanged() -> None:
    for message in (Ask("d", 3, "a", 9), Grant("d", 3, "a", 9, "b"), Refuse("d", 9, "b", 4, "c", 12.5),
                    Release("d", 3, "a", "c"), Sound("d", "a", 9),
                    Standing("d", 9, "b", 4, "c", 12.5)):  # fmt: skip
        assert decode(encode(message)) == message


def test_the_fence_refuses_a_lower_token_and_the_checker_finds_what_a_broken_sink_lets_through() -> None:
    fence = Fence()
    assert fence.offer("d", 2, "a", 0.0, 1.0) and not fence.offer("d", 1, "b", -1.0, 2.0)
    assert fence.offer("d", 2, "a", 3.0, 3.0) and fence.refused == 1
    assert check(fence.acts).safe
    broken = [Act("d", 2, "a", 0.0, 1.0, True), Act("d", 1, "b", -1.0, 2.0, True)]
    verdict = check(broken)
    assert verdict.stale_accepted == 1 and verdict.overlaps == 0
    crossing = [
        Act("d", 1, "a", 0.0, 1.0, True),
        Act("d", 2, "b", 5.0, 6.0, True),
        Act("d", 1, "a", 6.0, 7.0, False),
    ]
    assert check(crossing).overlaps == 1
    assert check([Act("d", 1, "a", 0.0, 1.0, False)]).unaccounted == 1


def test_the_longest_orphaned_gap_leaves_out_what_is_excused() -> None:
    acts = [Act("d", 1, "a", t, t, True) for t in (0.0, 100.0, 2_100.0)]
    assert check(acts, end_ms=2_200.0).orphan_max_ms == 2_000.0
    assert check(acts, end_ms=2_200.0, excused=[(500.0, 1_500.0)]).orphan_max_ms == 1_000.0


def story(n: int, faults: list[Fault], length_ms: float = 8_000.0, seed: int = 5) -> tuple[World, Verdict]:
    world = World(seed, n)
    for fault in faults:
        world.after(fault.at_ms, lambda fault=fault: world.apply(fault))  # type: ignore[misc]
    world.start()
    world.run_until(length_ms)
    return world, check(world.fence.acts, length_ms, world.excused)


def holder(world: World, duty: str = "purge") -> str:
    local = {name: d.clock(world.now) for name, d in world.directors.items()}
    held = [name for name, d in world.directors.items() if d.up and d.candidate.token(duty, local[name])]
    assert len(held) <= 1
    return held[0] if held else ""


def first_holder(n: int) -> str:
    world, _ = story(n, [], length_ms=3_000.0)
    return holder(world)


def test_a_holder_paused_past_its_lease_is_fenced_where_it_acts_and_stops() -> None:
    victim = first_holder(3)
    world, verdict = story(3, [Fault(3_000.0, 2_500.0, "pause", (victim,))])
    assert verdict.safe and verdict.orphan_max_ms < 2_000.0
    late = [a for a in world.fence.acts if a.actor == victim and not a.accepted]
    assert late, "what it wrote after the pause, with what it read before, is refused"
    assert holder(world) != victim or world.directors[victim].candidate.token("purge", 0.0) is None


def test_one_sided_cuts_either_way_hand_the_duty_on_and_leave_one_holder() -> None:
    for kind in ("cut_out", "cut_in"):
        victim = first_holder(5)
        world, verdict = story(5, [Fault(3_000.0, 4_000.0, kind, (victim,))])
        assert verdict.safe and verdict.orphan_max_ms < 2_500.0, (kind, verdict)
        taken = {a.actor for a in world.fence.acts if a.accepted and 4_500.0 < a.at_ms < 7_000.0}
        assert taken and victim not in taken, (kind, taken)


def test_a_minority_side_keeps_no_holder_while_the_majority_elects_one() -> None:
    victim = first_holder(5)
    side = (victim, next(name for name in ("d0", "d1", "d2") if name != victim))
    world, verdict = story(5, [Fault(3_000.0, 4_000.0, "partition", side)])
    assert verdict.safe and verdict.orphan_max_ms < 2_000.0
    during = {a.actor for a in world.fence.acts if a.accepted and 4_500.0 < a.at_ms < 7_000.0}
    assert during and not during & set(side)


def test_with_a_majority_gone_there_is_no_holder_rather_than_two_and_one_comes_back_after() -> None:
    world, verdict = story(5, [Fault(3_000.0, 3_000.0, "kill", ("d0", "d1", "d2"))], length_ms=10_000.0)
    assert verdict.safe
    assert not [a for a in world.fence.acts if a.accepted and 4_200.0 < a.at_ms < 6_000.0]
    assert [a for a in world.fence.acts if a.accepted and a.at_ms > 9_000.0]


def test_a_clean_stop_hands_on_at_once_and_a_torn_grant_is_not_given_twice() -> None:
    victim = first_holder(3)
    _world, verdict = story(3, [Fault(3_000.0, 2_000.0, "stop", (victim,))])
    assert verdict.safe and verdict.orphan_max_ms < 500.0
    _, torn = story(3, [Fault(3_000.0, 500.0, "torn", (victim,)), Fault(3_200.0, 500.0, "torn", ("d1",))])
    assert torn.safe


def run_many(first: int, count: int, broken: str = "") -> list[Verdict]:
    return [play(seed, 3 + 2 * (seed % 2), fence=Blind() if broken == "token" else None)
            for seed in range(first, first + count)]  # fmt: skip


class Blind(Fence):
    """A sink that does not check tokens."""

    def offer(self, duty: str, token: int, actor: str, done_ms: float, at_ms: float) -> bool:
        self.acts.append(Act(duty, token, actor, done_ms, at_ms, True))
        return True


def many(count: int, broken: str = "") -> list[Verdict]:
    step = 500
    with ProcessPoolExecutor(max_workers=8) as pool:
        parts = pool.map(
            run_many, range(0, count, step), [step] * (count // step), [broken] * (count // step)
        )
        return [verdict for part in parts for verdict in part]


def test_ten_thousand_seeded_schedules_keep_one_holder_and_broken_copies_are_found() -> None:
    verdicts = many(SCHEDULES)
    assert len(verdicts) == SCHEDULES
    assert sum(v.overlaps for v in verdicts) == 0
    assert sum(v.stale_accepted + v.unaccounted for v in verdicts) == 0
    assert sum(v.refused for v in verdicts) > 0  # fencing was called upon
    assert sum(v.stale_accepted > 0 for v in many(2_000, "token")) > 0


def test_clocks_skewed_to_the_bound_keep_holders_apart_and_without_the_margins_they_do_not() -> None:
    assert all(play_skewed(seed).safe for seed in range(300))
    broken = LeaseTerms(stop_margin_ms=0.0, grant_margin_ms=0.0)
    assert sum(play_skewed(seed, terms=broken).overlaps > 0 for seed in range(300)) > 0
