"""What a gatekeeper is told at its start: the operators' settings, its own addresses, and its limits."""

from .config import Config, config_path, load_config, read_config
from .limits import Limits
from .machines import Machines
from .read import BadSettings, read_settings, tenths

__all__ = [
    "BadSettings",
    "Config",
    "Limits",
    "Machines",
    "config_path",
    "load_config",
    "read_config",
    "read_settings",
    "tenths",
]
