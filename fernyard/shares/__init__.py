"""Weighted max-min fair shares of the workers' bandwidth among tenants, over all edges (docs/shares.md): `allocate.py` fills,
`adviser.py` is what planners make of edges' demands, `edge.py` what a gatekeeper or forwarder lets pass. All free of I/O."""

from .adviser import SharesAdviser, SharesSettings, Tenant
from .edge import EdgeShares

__all__ = ["EdgeShares", "SharesAdviser", "SharesSettings", "Tenant"]
