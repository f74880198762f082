"""What has to hold in a run, judged from what clients, workers and the operator noted, never from the program's own word.

A bound is judged only where the probes show that it could be kept (`Judge.could_keep`); what could not be judged is counted. Free
of I/O; times are seconds.
"""

import signal
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable

from .clients import PROMISES, REPEATABLE
from .description import SoakDescription
from .judge import WAKE_DELAY_FRACTION, Judge, Judgement, Verdict
from .operator import ROUTE_TIMEOUT
from .order_checks import configuration, evacuation
from .records import Ending, Records, Try, Work, WorkEnding

FEW = 3  # what the pages call "a few"
EXIT_MARGIN = 0.5  # seconds that noticing an exit may take
EARLY_STATUSES = (-signal.SIGTERM, -signal.SIGHUP)  # of a process that handles neither yet
INTERPRETER_START = 0.3  # seconds until the program's first line runs
DESCRIPTOR_MARGIN, MEMORY_FACTOR, MEMORY_MARGIN_MB = 30, 1.5, 40.0
MIN_JUDGED = 0.5  # of all that bounds are judged on; below, a run is not judged
SERVED_AFTER_RECOVERY = 0.25
QUOTA_USED = 0.4  # of a burst: with less than that used, a tenant is below its quota
LAST_FRACTION_OF_GRACE = 1 / 6
PASSED_ON_BOUND = 1.0  # seconds; that something was passed on and its connection closed is no matter of time
OWN_FAILURES = (502, 504)  # of a gateway, not of a worker

Check = Callable[[Judge], Judgement]


# Requests and answers ------------------------------------------------------------------------------------------------


def mixed(judge: Judge) -> Judgement:
    """An answer is the one to that request, complete and as its worker wrote it."""
    answered = [made for made in judge.records.tries if made.ending is Ending.ANSWERED]
    found = [f"{made.id}: {made.wrong}" for made in answered if made.wrong]
    return Judgement("MIXED", len(answered), 0, found, len(found))


def twice(judge: Judge) -> Judgement:
    """What may not be repeated runs once at most in one try."""
    mutating = [made for made in judge.records.tries if made.kind not in REPEATABLE]
    runs = {made.id: sum(work.began_at is not None for work in judge.work_of[made.id]) for made in mutating}
    found = [f"{id} ran {count} times" for id, count in runs.items() if count > 1]
    return Judgement("TWICE", len(mutating), 0, found, max(runs.values(), default=0))


def refused(judge: Judge) -> Judgement:
    """A status that promises that a request has not run keeps its word."""
    promised = [made for made in judge.records.tries if made.kind not in REPEATABLE and made.status in PROMISES]
    found = [
        f"{made.id}: {made.status}, and it ran"
        for made in promised
        if any(work.began_at is not None for work in judge.work_of[made.id])
    ]
    return Judgement("REFUSED", len(promised), 0, found, len(found))


# Clients that left ---------------------------------------------------------------------------------------------------


def _left(judge: Judge) -> Iterable[tuple[Try, float, bool]]:
    """(try, the moment `goneS` after its client left, whether a bound can be judged there)."""
    bound = judge.bounds.goneS
    for made in judge.records.tries:
        if made.left_at is not None:
            limit = made.left_at + bound
            fair = judge.could_keep(made.left_at, limit, bound) and judge.in_touch(made.gateway, made.sent_at, limit)
            yield made, limit, fair


def gone_new(judge: Judge) -> Judgement:
    """Nothing reaches a worker later than `goneS` after its client left, but for a few."""
    result, found = Judgement("GONE new"), []
    for made, limit, fair in _left(judge):
        late = [work for work in judge.work_of[made.id] if work.arrived_at > limit]
        late = [work for work in late if not judge.link_held(work.worker, made.sent_at, work.arrived_at)]
        result.judged, result.unjudged = result.judged + fair, result.unjudged + (not fair)
        if fair and late:
            result.worst = max(result.worst, late[-1].arrived_at - limit)
            found.append(f"{made.id} reached {late[0].worker} {late[0].arrived_at - limit:.2f} s too late")
    result.findings = found if len(found) > FEW else []
    return result


def gone_work(judge: Judge) -> Judgement:
    """Workers aren't at work `goneS` after the client left, on more than a quarter of what would have lasted so long."""
    result, found, lasting = Judgement("GONE work"), [], 0
    for made, limit, fair in _left(judge):
        if made.kind not in REPEATABLE:
            continue
        for work in judge.work_of[made.id]:
            if work.arrived_at > limit or judge.link_held(work.worker, made.sent_at, limit):
                continue
            ended = work.ended_at if work.ended_at is not None else judge.records.ended_at
            would_last = ended > limit or (work.until is not None and work.until > limit)
            if not would_last:
                continue
            result.judged, result.unjudged = result.judged + fair, result.unjudged + (not fair)
            lasting += fair
            if fair and ended > limit:
                result.worst = max(result.worst, ended - limit)
                found.append(f"{made.id} at {work.worker} for {ended - limit:.2f} s more")
    result.findings = found if len(found) > max(FEW, lasting / 4) else []
    return result


# Planned work --------------------------------------------------------------------------------------------------------


def _is_lost(judge: Judge, made: Try) -> bool:
    """Was a complete request passed on, or held for longer than `lossSlackS`, and its connection closed without an answer? Or was
    the work for it broken off and answered with a status of the gateway's own?"""
    if made.written_at is None or made.ended_at is None:
        return False
    work = judge.work_of[made.id]
    if made.ending is Ending.ANSWERED:
        return _is_broken_off(made, work)
    if made.ending is not Ending.CLOSED:
        return False
    if any(one.ending is WorkEnding.BROKEN_OFF for one in work):
        return False
    if any(judge.worker_failed(one.worker, one.arrived_at - 1.0, made.ended_at) for one in work):
        return False
    return bool(work) or made.ended_at > made.written_at + judge.bounds.lossSlackS


def _is_broken_off(made: Try, work: list[Work]) -> bool:
    assert made.ended_at is not None
    if made.status not in OWN_FAILURES or made.ended_at > min(made.deadline_at, made.sent_at + ROUTE_TIMEOUT) - 0.2:
        return False
    return any(
        one.ending is WorkEnding.CANCELLED_RUNNING and (one.ended_at or 0.0) <= made.ended_at + 0.1 for one in work
    )


def _bound_of_loss(judge: Judge, made: Try) -> float:
    """What was not passed on may have crossed the close: then `lossSlackS` decides, and has to be measured as finely."""
    return PASSED_ON_BOUND if judge.work_of[made.id] else judge.bounds.lossSlackS


def lost_planned(judge: Judge) -> Judgement:
    """Round a SIGTERM or SIGHUP of its gateway no request is lost."""
    result, bounds = Judgement("LOST planned"), judge.bounds
    for made in judge.records.tries:
        if made.ended_at is None or made.written_at is None or made.ending is Ending.LEFT:
            continue
        around = judge.disturbances(made.gateway, made.sent_at - bounds.contactS, made.ended_at)
        planned = [one for one in around if one.planned and one.begin <= made.ended_at]
        planned = [one for one in planned if made.ended_at <= one.begin + bounds.graceS + 1.0]
        if not planned:
            continue
        last = planned[-1].begin + bounds.graceS * (1 - LAST_FRACTION_OF_GRACE)
        is_fair = all(one.planned for one in around) and made.ended_at < last
        is_fair = is_fair and judge.could_keep(made.sent_at, made.ended_at, _bound_of_loss(judge, made))
        result.judged, result.unjudged = result.judged + is_fair, result.unjudged + (not is_fair)
        if is_fair and _is_lost(judge, made):
            result.findings.append(
                f"{made.id} at {made.gateway}, closed {made.ended_at - planned[-1].begin:.2f} s after the signal"
            )
    result.worst = len(result.findings)
    return result


def lost_on_reused_connections(judge: Judge) -> Judgement:
    """At any time: what was passed on from a kept connection is answered, but for a few."""
    result, found = Judgement("LOST kept"), []
    for made in judge.records.tries:
        if not made.reused or made.ended_at is None or made.ending is Ending.LEFT:
            continue
        fair = judge.in_touch(made.gateway, made.sent_at, made.ended_at) and judge.could_keep(
            made.sent_at, made.ended_at, 1.0
        )
        result.judged, result.unjudged = result.judged + fair, result.unjudged + (not fair)
        if fair and judge.work_of[made.id] and _is_lost(judge, made):
            found.append(f"{made.id} at {made.gateway}")
    result.findings, result.worst = found if len(found) > FEW else [], len(found)
    return result


def exits(judge: Judge) -> Judgement:
    """After SIGTERM a process ends by itself within `graceS`, with status 0; and none ends unasked."""
    result, bounds = Judgement("EXIT"), judge.bounds
    for ended in judge.records.exits:
        if ended.status in EARLY_STATUSES and ended.at - ended.started_at < INTERPRETER_START:
            result.unjudged += 1  # none of the program had run
            continue
        if not ended.expected:
            result.judged += 1
            result.findings.append(f"{ended.name} ended by itself at {ended.at:.1f} s with status {ended.status}")
            continue
        if ended.terminated_at is None:
            continue
        others = judge.disturbances(ended.name, ended.terminated_at - 0.5, ended.at)
        was_let = not any(one.kind.endswith(("stop", "kill", "wipe", "alone", "kill_all")) for one in others)
        fair = was_let and judge.could_keep(ended.terminated_at, ended.at, 2.0)
        result.judged, result.unjudged = result.judged + fair, result.unjudged + (not fair)
        took = ended.at - ended.terminated_at
        if fair:
            result.worst = max(result.worst, took)
        if fair and (ended.status != 0 or took > bounds.graceS + EXIT_MARGIN):
            result.findings.append(f"{ended.name}: status {ended.status}, {took:.2f} s after SIGTERM")
    return result


# Workers that drain, and the budget ------------------------------------------------------------------------------------


def drain(judge: Judge) -> Judgement:
    """Nothing reaches a worker later than `drainS` after the list showed it draining."""
    result, bound = Judgement("DRAIN"), judge.bounds.drainS
    for work in judge.records.work:
        shown_at, made = judge.records.draining.get(work.worker), judge.try_of.get(work.id)
        if shown_at is None or made is None or work.arrived_at <= shown_at:
            continue
        fair = judge.in_touch(made.gateway, shown_at, work.arrived_at) and judge.could_keep(
            shown_at, work.arrived_at, 1.0
        )
        fair = fair and not judge.disturbances("platform", shown_at, work.arrived_at)
        result.judged, result.unjudged = result.judged + fair, result.unjudged + (not fair)
        if fair:
            result.worst = max(result.worst, work.arrived_at - shown_at)
        if fair and work.arrived_at > shown_at + bound and work.ending is not WorkEnding.REJECTED:
            result.findings.append(
                f"{work.id} reached {work.worker} {work.arrived_at - shown_at:.2f} s after it drained"
            )
    return result


def budget(judge: Judge) -> Judgement:
    """Arrivals beyond the first of each request stay within the ratio and the slack."""
    bounds, seen, extra = judge.bounds, set[str](), list[float]()
    for work in sorted(judge.records.work, key=lambda work: work.arrived_at):
        if work.id in seen:
            extra.append(work.arrived_at)
        seen.add(work.id)
    sent = sorted(made.sent_at for made in judge.records.tries)
    result = Judgement("BUDGET", len(extra))
    for last, at in enumerate(extra):
        begin = at - bounds.retryWindowS
        count = last + 1 - bisect_left(extra, begin)
        requests = bisect_right(sent, at) - bisect_left(sent, begin)
        allowed = bounds.retryRatio * requests + bounds.retrySlack
        result.worst = max(result.worst, count / max(1e-9, allowed))
        if count > allowed:
            result.findings.append(
                f"{count} retries of {requests} requests in the {bounds.retryWindowS:g} s before {at:.1f} s"
            )
    return result


# Quotas --------------------------------------------------------------------------------------------------------------


def _limited_runs(judge: Judge) -> list[float]:
    """When the runs of the tenant with a limit began, in order."""
    works = (work for work in judge.records.work if work.tenant == "limited")
    return sorted(work.began_at for work in works if work.began_at is not None)


def quota(judge: Judge) -> Judgement:
    """A tenant's runs stay within its quota in each window, over all gateways."""
    bounds, rate = judge.bounds, judge.description.quota
    allowed = (rate * bounds.quotaWinS + rate) * (1 + bounds.quotaExcess) + bounds.quotaSlack
    runs = _limited_runs(judge)
    result = Judgement("QUOTA", len(runs))
    for last, at in enumerate(runs):
        count = last + 1 - bisect_left(runs, at - bounds.quotaWinS)
        result.worst = max(result.worst, count / allowed)
        if count > allowed:
            result.findings.append(
                f"{count} runs in the {bounds.quotaWinS:g} s before {at:.1f} s, {allowed:.0f} allowed"
            )
    return result


def quota_returned(judge: Judge) -> Judgement:
    """Units of what never ran go back: a tenant that uses little of its quota isn't refused, but for a few."""
    result, found, rate = Judgement("QUOTA returned"), [], judge.description.quota
    runs = _limited_runs(judge)
    gateways = [name for name in judge.disturbed if name.startswith("data-plane")]
    for made in judge.records.tries:
        if made.status != 429 or made.ended_at is None:
            continue
        begin = made.ended_at - 2.5
        fair = all(judge.in_touch(name, begin, made.ended_at) for name in (made.gateway, *gateways))
        result.judged, result.unjudged = result.judged + fair, result.unjudged + (not fair)
        used = bisect_right(runs, made.ended_at) - bisect_left(runs, begin)
        in_flight = sum(
            other.tenant == "limited" and other.sent_at <= made.ended_at and (other.ended_at or 0.0) >= made.ended_at
            for other in judge.records.tries
        )
        if fair and used + in_flight < QUOTA_USED * rate:
            found.append(f"{made.id}: 429 with {used} runs of {rate:g} a second before it")
    result.findings, result.worst = found if len(found) > FEW else [], len(found)
    return result


# The whole -----------------------------------------------------------------------------------------------------------


def served(judge: Judge) -> Judgement:
    """Once `recoveryS` has passed since the last trouble, at least a quarter is served."""
    last = max((one.end for one in judge.records.disturbances if one.end < float("inf")), default=0.0)
    begin = last + judge.bounds.recoveryS
    late = [made for made in judge.records.tries if made.sent_at > begin and made.ending is not Ending.LEFT]
    good = sum(200 <= made.status < 300 for made in late)
    result = Judgement("RECOVER", len(late), 0, [], good / max(1, len(late)))
    if late and good < SERVED_AFTER_RECOVERY * len(late):
        result.findings.append(f"{good} of {len(late)} requests served after {begin:.1f} s")
    return result


def leaks(judge: Judge) -> Judgement:
    """Descriptors and memory of each process are back, within a margin, once nobody asks for anything."""
    result = Judgement("LEAK", len(judge.records.usage))
    for usage in judge.records.usage:
        before, after = usage.descriptors
        memory_before, memory_after = usage.memory_mb
        result.worst = max(result.worst, after - before)
        if after > before + DESCRIPTOR_MARGIN:
            result.findings.append(f"{usage.name}: {before} descriptors before, {after} after")
        if memory_after > MEMORY_FACTOR * memory_before + MEMORY_MARGIN_MB:
            result.findings.append(f"{usage.name}: {memory_before:.0f} MB before, {memory_after:.0f} MB after")
    return result


CHECKS: tuple[Check, ...] = (
    mixed,
    twice,
    refused,
    gone_new,
    gone_work,
    lost_planned,
    lost_on_reused_connections,
    exits,
    drain,
    budget,
    quota,
    quota_returned,
    configuration,
    evacuation,
    served,
    leaks,
)


def judge_run(description: SoakDescription, records: Records) -> Verdict:
    """All checks."""
    judge = Judge(description, records)
    judgements = [check(judge) for check in CHECKS]
    fraction = _judged_fraction(judge)
    if any(judgement.findings for judgement in judgements):
        return Verdict("broken", fraction, judgements)
    return Verdict("kept" if fraction >= MIN_JUDGED else "not judged", fraction, judgements)


def _judged_fraction(judge: Judge) -> float:
    """Of the time of the run, that in which the probes were woken in time for a bound of half a second."""
    late = judge.records.wake_delays
    if not late:
        return 0.0
    return sum(seconds <= WAKE_DELAY_FRACTION * judge.bounds.goneS for _, seconds in late) / len(late)
