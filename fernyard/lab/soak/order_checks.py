"""What has to hold of an operator's orders: configurations and evacuations. Free of I/O; times are seconds."""

import json

from .judge import Judge, Judgement
from .records import Call, WorkEnding


def _version_of(body: bytes) -> int:
    try:
        return int(json.loads(body)["ver"], 16)
    except (ValueError, KeyError, TypeError):
        return -1


def configuration(judge: Judge) -> Judgement:
    """What was acknowledged is never gone or older, what was rejected is never seen, and what is read was sent."""
    result, calls = Judgement("CONFIG"), judge.records.calls
    sent = [call for call in calls if call.version and call.body]
    acknowledged = [call for call in sent if call.status == 200 and call.kind != "refused"]
    for call in sent:
        if call.kind == "refused" and call.how != "other_bytes":
            result.judged += 1
            if call.status == 200:
                result.findings.append(f"version {call.version} ({call.how}) was acknowledged")
    for read in (call for call in calls if call.kind in ("read", "last read") and call.status == 200):
        result.judged += 1
        result.findings += _wrong_read(judge, read, acknowledged, {call.body for call in sent if _may_hold(call)})
    for read in (call for call in calls if call.kind == "last read" and call.status != 200):
        result.findings.append(f"{read.process} does not tell the configuration at the end: {read.status}")
    return result


def _may_hold(call: Call) -> bool:
    return call.kind != "refused" or call.how == "other_bytes"


def _wrong_read(judge: Judge, read: Call, acknowledged: list[Call], bodies: set[bytes]) -> list[str]:
    version, wrong = _version_of(read.body), []
    bound = 0.0 if read.kind == "last read" else judge.bounds.applyS
    newest = max((call.version for call in acknowledged if call.ended_at + bound < read.sent_at), default=0)
    if version < newest:
        wrong.append(f"{read.process} told version {version} at {read.sent_at:.1f} s, {newest} was acknowledged before")
    if read.body not in bodies:
        wrong.append(f"{read.process} told what nobody sent as version {version}")
    return wrong


def _evacuated(judge: Judge) -> list[tuple[str, float, float]]:
    """(zone, `evacuateS` after its evacuation was acknowledged, when the next order for it was sent) of each evacuation."""
    calls = [call for call in judge.records.calls if call.kind in ("evacuate", "restore")]
    spans = []
    for number, call in enumerate(calls):
        if call.kind == "evacuate" and call.status == 200:
            until = next((later.sent_at for later in calls[number + 1 :] if later.how == call.how), float("inf"))
            spans.append((call.how, call.ended_at + judge.bounds.evacuateS, until))
    return [span for span in spans if span[1] < span[2]]


def evacuation(judge: Judge) -> Judgement:
    """Nothing reaches a zone later than `evacuateS` after its evacuation was acknowledged, until it is taken back."""
    result, bound = Judgement("EVAC"), judge.bounds.evacuateS
    for zone, begin, until in _evacuated(judge):
        for work in judge.records.work:
            made = judge.try_of.get(work.id)
            if made is None or not begin < work.arrived_at < until:
                continue
            fair = judge.in_touch(made.gateway, work.arrived_at, work.arrived_at)
            fair = fair and judge.could_keep(begin - bound, work.arrived_at, bound)
            fair = fair and not judge.link_held(work.worker, made.sent_at, work.arrived_at)
            result.judged, result.unjudged = result.judged + fair, result.unjudged + (not fair)
            if fair and work.zone == zone and work.ending is not WorkEnding.REJECTED:
                result.worst = max(result.worst, work.arrived_at - begin)
                result.findings.append(f"{work.id} reached {zone} by way of {made.gateway} at {work.arrived_at:.2f} s")
    return result
