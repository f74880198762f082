"""The whole system: `control_plane`, `data_plane`, and `common`, what both stand on (docs/system.md)."""
