"""Who is there: a SWIM failure detector with suspicion, refutation and Lifeguard's awareness of oneself.

`swim.py` decides and does no I/O; `messages.py` holds what is said, `seal.py` who may say it.
"""
