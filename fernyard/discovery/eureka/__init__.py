"""Workers from a Eureka registry: `listing.py` reads what it says, `trust.py` decides what of it is believed (both free
of I/O), `client.py` asks."""

from .client import EurekaWatch
from .listing import BadListing, Instance, Listing, hashcode, read_listing
from .trust import Change, Delta, Failed, Full, Trust, TrustSettings

__all__ = [
    "BadListing",
    "Change",
    "Delta",
    "EurekaWatch",
    "Failed",
    "Full",
    "Instance",
    "Listing",
    "Trust",
    "TrustSettings",
    "hashcode",
    "read_listing",
]
