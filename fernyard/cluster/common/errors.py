"""Errors with codes. Each layer has its own and turns those from below; docs/system-operators.md lists them."""

from ...errors import FernyardError


class ClusterError(FernyardError):
    """Base of the system's errors; `code` names the kind for operators."""

    CODE = "X000"

    def __str__(self):
        return f"{self.CODE} {super().__str__()}"

    def fields(self):
        return {"code": self.CODE, **super().fields()}


class SettingsError(ClusterError):
    CODE, DO = "S100", "mend the settings file named by FERNYARD_BOOT"


class ConfigurationError(ClusterError):
    """A configuration that cannot be taken; answered 400."""

    CODE, DO = "W200", "mend the configuration and send it again"


class ConfigurationConflictError(ClusterError):
    """Another configuration is held under that number; answered 409."""

    CODE, DO = "W201", "read what is held with GET /-/config, and send yours under a higher number"


class StoreError(ClusterError):
    """The disk did not keep what it was told to keep."""

    CODE, DO = "D300", "look at the disk under dataDir: room, faults, time of a sync"


class StateError(ClusterError):
    """What the disk holds is not the state of this machine, or cannot be read; nothing of it is overwritten."""

    CODE, DO = (
        "D301",
        "look whose disk is mounted under dataDir; give this machine its own, or an empty folder to join anew",
    )
