"""Fault injection for a fleet of directors that run as processes on loopback.

Relays stand between every ordered pair of directors (`relay`), a fenced resource records what lease holders
do (`fenced_resource`), `fleet` starts and stops the processes, and `nemesis` plays a seeded `schedule` of
network faults and signals against them.
"""
