"""Parts of the forwarding of one request, which `dispatch.Forwarding` combines.

Nothing in this package does I/O.
"""

# `dispatch.Forwarding` imports modules of this package, which import modules of
# `dispatch`. With `dispatch` imported first, either package may be imported
# before the other one.
import mustardwood.dispatch
