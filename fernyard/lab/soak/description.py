"""What a soak is made of, in TOML, checked with pydantic. Times are seconds, rates are per second.

name = "usual"
seconds = 90.0
control_planes = 3
data_planes = 8
workers = 24
clients = 40
rate = 60.0
[bounds]            # those of a site's table; all of them
contactS = 5.0
"""

import tomllib
from pathlib import Path

from pydantic import Field, ValidationError, field_validator

from ..scenario import Strict
from .schedule import TROUBLE_KINDS

SHIPPED = Path(__file__).parent / "runs"
MAX_PROCESSES = 300
PROCESS_MB = 64.0  # assumed of a process before one was measured
MEMORY_FRACTION = 0.5  # of the machine's, that a run may use


class SoakDescriptionError(ValueError):
    """A run that cannot be played: the message names the file, the field, and what to do."""


class Bounds(Strict):
    """The bounds of a deployment, named as the operators' pages name them; a run states all of them."""

    contactS: float = Field(gt=0)
    ackS: float = Field(gt=0)
    syncS: float = Field(gt=0)
    drainS: float = Field(gt=0)
    graceS: float = Field(ge=2)
    lossSlackS: float = Field(gt=0)
    applyS: float = Field(gt=0)
    recoveryS: float = Field(gt=0)
    retryRatio: float = Field(ge=0)
    retryWindowS: float = Field(gt=0)
    retrySlack: float = Field(ge=0)
    quotaWinS: float = Field(gt=0)
    quotaExcess: float = Field(ge=0)
    quotaSlack: float = Field(ge=0)
    goneS: float = Field(gt=0)
    evacuateS: float = Field(gt=0)


class SoakDescription(Strict):
    """One kind of run. `troubles`: the kinds that are drawn, all by default; `calm`: seconds without new trouble at the end of the
    load; `idle`: seconds without load after it, before descriptors and memory are compared; `leaving`: fraction of the clients
    that leave early; `quota`: requests a second that one of the two tenants may run."""

    name: str = Field(pattern=r"^[a-z0-9-]{1,32}$")
    seconds: float = Field(ge=4, le=3600)
    control_planes: int = Field(ge=1, le=9)
    data_planes: int = Field(ge=1, le=MAX_PROCESSES)
    workers: int = Field(ge=2, le=400)
    clients: int = Field(ge=1, le=2000)
    rate: float = Field(gt=0, le=2000)
    calm: float = Field(default=6.0, ge=1)
    idle: float = Field(default=6.0, ge=0.1)
    leaving: float = Field(default=0.2, ge=0, le=1)
    quota: float = Field(default=8.0, gt=0)
    troubles: tuple[str, ...] = TROUBLE_KINDS
    bounds: Bounds

    @field_validator("troubles")
    @classmethod
    def _known(cls, kinds: tuple[str, ...]) -> tuple[str, ...]:
        unknown = [kind for kind in kinds if kind not in TROUBLE_KINDS]
        if unknown:
            raise ValueError(f"{', '.join(unknown)} is none of: {', '.join(TROUBLE_KINDS)}")
        return kinds

    @property
    def processes(self) -> int:
        """How many processes of the program run."""
        return self.control_planes + self.data_planes


def load(path: str) -> SoakDescription:
    """A file, or the name of a shipped run. Raises SoakDescriptionError."""
    file = Path(path) if Path(path).exists() else SHIPPED / f"{path}.toml"
    try:
        description = SoakDescription.model_validate(tomllib.loads(file.read_text(encoding="utf-8")))
    except OSError as error:
        raise SoakDescriptionError(
            f"{path}: {error.strerror}; name a file, or one of {', '.join(shipped())}"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SoakDescriptionError(f"{path}: {error}") from error
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise SoakDescriptionError(
            f"{path}: {field}: {first['msg']}; mend the field, or leave the file out for a shipped run"
        ) from error
    check_size(description, memory_mb(), PROCESS_MB)
    return description


def shipped() -> list[str]:
    """The names of the runs that come with the laboratory."""
    return sorted(path.stem for path in SHIPPED.glob("*.toml"))


def check_size(description: SoakDescription, available_mb: float, process_mb: float) -> None:
    """Raises SoakDescriptionError where the run would need more processes or memory than one may use. `process_mb`: of one process."""
    count, most = description.processes, MEMORY_FRACTION * available_mb
    if count > MAX_PROCESSES:
        raise SoakDescriptionError(
            f"{count} processes are asked for, {MAX_PROCESSES} may run: lower data_planes or control_planes"
        )
    if count * process_mb > most:
        raise SoakDescriptionError(
            f"{count} processes of {process_mb:.0f} MB need {count * process_mb:.0f} MB, half of this machine is {most:.0f} MB: "
            f"lower data_planes or control_planes to {int(most / process_mb)} in all"
        )


def memory_mb() -> float:
    """The machine's memory."""
    for line in Path("/proc/meminfo").read_text(encoding="ascii").splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) / 1024
    return 0.0
