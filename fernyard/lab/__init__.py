"""The laboratory: emulators of workers, the counter and discovery with scripted failures, an open-loop load
tool, and a runner that plays a scenario against real gatekeeper processes on loopback and checks the rules.

Everything here is a stand-in written from the public protocol pages (HTTP/1.1 workers and discovery, RESP2
for the counter); its figures are of simulated servers. Nothing in the gatekeeper imports this package.
"""
