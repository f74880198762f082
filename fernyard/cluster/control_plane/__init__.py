"""The control plane: agrees on the control state, knows workers and gateways, tells clients where to go."""
