"""All decisions of a dispatcher: which server a request is sent to, whether to retry, what to reject.

`routing` handles a request from its arrival to its final answer. It gets servers from `candidates`, checks
with `health` and `capacity` that they can accept work, and with `retries` that another attempt is harmless.
`dns_placement` answers resolvers by the same rules; `dispatcher` composes these modules. The state that the
decisions are based on is in `gladewalk.registry`, the algorithms of the single limits in `gladewalk.limits`.
"""

from .dispatcher import Dispatcher as Dispatcher
