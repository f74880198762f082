"""The whole system: `tandem` is the control plane, `switchboard` the data plane, `trunk` what both stand on
(docs/system.md)."""
