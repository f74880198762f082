"""The control plane: keeps the operator's word on disk, knows workers and switchboards, tells clients where to go."""
