"""When a freeze window is open. Free of I/O; moments are Unix seconds, days and times those of the window's IANA zone.

- A window goes from `start` to `end` on the local wall clock, once or each time its rule (RFC 5545) says; each occurrence
  is as long on the wall clock as the first. Or it covers the days of a public holiday, `before` and `after` days more, from
  midnight to midnight.
- A local time that comes twice (the clock is set back) or never (it is set forward) stands for two moments: a start is the
  earlier, an end the later of the two. So a window errs towards longer, by what the clock is set at most.
- Windows may overlap: what is frozen by any is frozen, and the one that ends last is named.
- Machines' clocks may be `skew` apart: a window counts as open that much sooner and longer.
"""

from bisect import bisect_right
from dataclasses import dataclass
from datetime import UTC, date, datetime, timedelta
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from dateutil.rrule import rrulestr

from ..errors import FernyardError

AHEAD = 400 * 86_400  # how far ahead occurrences are known; they are worked out anew each day
MOST = 2_000  # occurrences of one window within that


class BadWindow(FernyardError, ValueError):
    """A freeze window that cannot be."""

    DO = "mend the window in the operator's file; `fernyard check --operator FILE` lists what is read"


@dataclass(frozen=True, slots=True)
class Window:
    """`start`, `end`: naive local times (None with a holiday); `rule`: an RRULE; `holiday`: (country, part of its name)."""

    name: str
    zone: str
    start: datetime | None = None
    end: datetime | None = None
    rule: str = ""
    holiday: tuple[str, str] | None = None
    before: int = 0
    after: int = 0

    def check(self):
        """BadWindow where it cannot be."""
        try:
            ZoneInfo(self.zone)
        except (ZoneInfoNotFoundError, ValueError, OSError):
            raise BadWindow(
                f"zone {self.zone!r} is not known", self.name, "name an IANA zone, as America/Montevideo"
            ) from None
        if (self.holiday is None) == (self.start is None or self.end is None):
            raise BadWindow("has to have start and end, or a holiday, and not both", self.name)
        if self.holiday is None:
            if self.start.tzinfo or self.end.tzinfo:
                raise BadWindow("start and end are local times of its zone, without an offset", self.name)
            if self.end <= self.start:
                raise BadWindow("ends before it starts, or as it does", self.name)
            if self.rule:
                try:
                    rrulestr(self.rule, dtstart=self.start)
                except (ValueError, KeyError, TypeError) as why:
                    raise BadWindow(f"rule {self.rule!r}: {why}", self.name) from None
        elif self.rule:
            raise BadWindow("a holiday comes each year by itself: it has no rule", self.name)
        else:
            self._days(2026, 2027)

    def _days(self, first, last):
        import holidays

        country, named = self.holiday
        try:
            known = holidays.country_holidays(country, years=range(first, last + 1))
        except NotImplementedError:
            raise BadWindow(
                f"holidays of {country!r} are not known", self.name, "name a country by its two letters"
            ) from None
        days = known.get_named(named, lookup="icontains")
        if not days:
            names = sorted({name for names in known.values() for name in names.split("; ")})
            raise BadWindow(f"no holiday of {country} is called {named!r}", self.name, f"one of: {', '.join(names)}")
        return sorted(days)

    def spans(self, now):
        """Its (start, end) that end after `now` and start before `now + AHEAD`, in order."""
        zone = ZoneInfo(self.zone)
        local = datetime.fromtimestamp(now, UTC).astimezone(zone).replace(tzinfo=None)
        if self.holiday is not None:
            before, after = timedelta(self.before), timedelta(self.after + 1)
            days = self._days(local.year - 1, local.year + 2)
            occurrences = [(_midnight(day) - before, _midnight(day) + after) for day in days]
        elif self.rule:
            length = self.end - self.start
            rule = rrulestr(self.rule, dtstart=self.start)
            occurrences = []
            for start in rule.xafter(local - length - timedelta(1), inc=True):
                if start > local + timedelta(seconds=AHEAD) or len(occurrences) >= MOST:
                    break
                occurrences.append((start, start + length))
        else:
            occurrences = [(self.start, self.end)]
        spans = [(min(_moments(start, zone)), max(_moments(end, zone))) for start, end in occurrences]
        return sorted(span for span in spans if span[1] > now and span[0] < now + AHEAD)


def _midnight(day):
    return datetime(day.year, day.month, day.day) if isinstance(day, date) else day


def _moments(local, zone):
    """Unix seconds that a local time may stand for: two alike on all but the days the clock is set."""
    return [local.replace(tzinfo=zone, fold=fold).timestamp() for fold in (0, 1)]


@dataclass(frozen=True, slots=True)
class Exemption:
    """A change that may be made in a window: until when (Unix seconds), and why."""

    window: str
    digest: str
    reason: str
    until: float


@dataclass(frozen=True, slots=True)
class Frozen:
    """A window that is, or may be, open; `end` in Unix seconds, the skew on it."""

    window: str
    end: float


class Windows:
    """`skew` in seconds."""

    def __init__(self, windows=(), exemptions=(), skew=0.5):
        self.windows, self.exemptions, self.skew = tuple(windows), tuple(exemptions), skew
        names = [window.name for window in self.windows]
        if len(set(names)) < len(names):
            raise BadWindow("two windows have one name", next(n for n in names if names.count(n) > 1))
        for window in self.windows:
            window.check()
        for exemption in self.exemptions:
            if exemption.window not in names:
                raise BadWindow("an exception to a window that is not declared", exemption.window)
        self.known, self.until = {}, 0.0

    def _spans(self, now):
        if now >= self.until or now < self.until - 2 * 86_400:
            # Worked out once a day: a rule costs more than an order may.
            self.known = {window.name: window.spans(now - 86_400) for window in self.windows}
            self.until = now + 86_400
        return self.known

    def frozen(self, now, ahead=0.0):
        """The `Frozen` window that may be open now, on whichever clock, or opens within `ahead` seconds; None: none."""
        last = None
        for name, spans in self._spans(now).items():
            at = bisect_right(spans, (now + ahead + self.skew, float("inf")))
            for start, end in spans[:at]:
                if end + self.skew > now and (last is None or end + self.skew > last.end):
                    last = Frozen(name, end + self.skew)
        return last

    def exempt(self, now, window, digest):
        """Whether an exception that is declared here lets that change through."""
        return any(e.window == window and e.digest == digest and now < e.until for e in self.exemptions)

    def next(self, now, count=5):
        """(name, start, end) of those that open next or are open."""
        told = [(start, end, name) for name, spans in self._spans(now).items() for start, end in spans if end > now]
        return [(name, start, end) for start, end, name in sorted(told)[:count]]
