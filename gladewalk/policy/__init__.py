"""Every decision of a dispatcher: which server, whether to retry, what is rejected.

`routing` holds the path of a request from top to bottom. It asks `candidates` for servers, `health` and
`capacity` whether they can take work, `idempotency` and `retries` what a further attempt may do, and
`outcomes` records what came of it. `dns_placement` answers resolvers by the same rules; `dispatcher` composes
the parts. What they know but do not decide is in `gladewalk.registry` and `gladewalk.limits`.
"""

from .dispatcher import Dispatcher as Dispatcher
