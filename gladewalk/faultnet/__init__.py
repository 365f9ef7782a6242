"""Fault injection for a fleet of directors that run as processes on loopback.

Relays forward all traffic of each ordered pair of directors (`relay`), a fenced resource records the
operations of lease holders (`fenced_resource`), `fleet` starts and stops the processes, and `nemesis` runs a
seeded `schedule` of network faults and signals against them.
"""
