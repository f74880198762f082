"""Errors with codes, which docs/system-operators.md lists. Each layer turns errors from below into its own."""

from ...errors import FernyardError


class ClusterError(FernyardError):
    """Base of the system's errors. `CODE` names the kind for operators, `DO` what to do about it."""

    CODE = "X000"

    def __str__(self) -> str:
        return f"{self.CODE} {super().__str__()}"

    def fields(self) -> dict[str, str]:
        """The error as fields of a log line."""
        return {"code": self.CODE, **super().fields()}


class SettingsError(ClusterError):
    """The settings file is missing, unreadable, or has a wrong field."""

    CODE, DO = "S100", "mend the settings file named by FERNYARD_BOOT"


class ConfigurationError(ClusterError):
    """A configuration that cannot be taken; answered 400."""

    CODE, DO = "W200", "mend the configuration and send it again"


class ConfigurationConflictError(ClusterError):
    """Another configuration is stored under that version; answered 409."""

    CODE, DO = "W201", "read what is held with GET /-/config, and send yours under a higher number"


class UnreadablePlanError(ClusterError):
    """A gateway was sent a configuration that it cannot read; it keeps the one that it has."""

    CODE, DO = (
        "W202",
        "restart the gateway on the build of the control planes, or send a configuration that it can read",
    )


class StoreError(ClusterError):
    """The disk did not store what it was given."""

    CODE, DO = "D300", "look at the disk under dataDir: room, faults, time of a sync"


class StateError(ClusterError):
    """What the disk holds is not the state of this machine, or cannot be read; nothing of it is overwritten."""

    CODE, DO = (
        "D301",
        "look whose disk is mounted under dataDir; give this machine its own, or an empty folder to join anew",
    )
